package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestSettingsAreCheckedAllAtOnce(t *testing.T) {
	good := []string{"-address", "127.0.0.1:7000", "-http", "0.0.0.0:8000", "-site", "a"}
	table := []struct {
		name   string
		keeper bool
		args   []string
		faults []string
	}{
		{"good", false, good, nil},
		{"good keeper", true, append(good, "-data", "d", "-founders", "1.1.1.1:1,1.1.1.2:1,1.1.1.3:1"), nil},
		{"nothing", true, nil, []string{"-address", "-http", "-site", "-data"}},
		{"names instead of numbers", false,
			[]string{"-address", "host:7000", "-http", "h:1", "-site", "a b"}, []string{"-address", "-http", "-site"}},
		{"nobody can reach it", false, append(good, "-address", "0.0.0.0:7000"), []string{"cannot be reached"}},
		{"four seeds", false, append(good, "-seeds", "1.1.1.1:1,1.1.1.2:1,1.1.1.3:1,1.1.1.4:1"), []string{"at most three"}},
		{"two founders", true, append(good, "-data", "d", "-founders", "1.1.1.1:1,1.1.1.2:1"), []string{"three or none"}},
		{"unknown flag", false, append(good, "-moon", "1"), []string{"moon"}},
		{"data for a front", false, append(good, "-data", "d"), []string{"data"}},
		{"stray word", false, append(good, "now"), []string{"now"}},
	}
	for _, row := range table {
		_, err := Parse("test", row.keeper, row.args)
		if (err == nil) != (len(row.faults) == 0) {
			t.Errorf("%s: %v", row.name, err)
			continue
		}
		for _, fault := range row.faults {
			if !strings.Contains(err.Error(), fault) {
				t.Errorf("%s: %q is not named in %v", row.name, fault, err)
			}
		}
	}
}

func TestSettingsFileAndEnvironment(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	text := []byte("address 127.0.0.1:7000\nhttp 127.0.0.1:8000\nsite fromfile\n")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	e, err := Parse("test", false, []string{"-settings", file})
	if err != nil || e.Zone != "fromfile" {
		t.Errorf("file: %+v %v", e, err)
	}
	t.Setenv("SORRELLOOM_SITE", "fromenv")
	if e, err = Parse("test", false, []string{"-settings", file}); err != nil || e.Zone != "fromenv" {
		t.Errorf("environment over file: %+v %v", e, err)
	}
	e, err = Parse("test", false, []string{"-settings", file, "-site", "fromflag"})
	if err != nil || e.Zone != "fromflag" {
		t.Errorf("flag over both: %+v %v", e, err)
	}
	if _, err = Parse("test", false, []string{"-version"}); !errors.Is(err, ErrInfoPrinted) {
		t.Errorf("version: %v", err)
	}
}
