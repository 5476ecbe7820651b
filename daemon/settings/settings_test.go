package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestParseReportsAllProblems(t *testing.T) {
	good := []string{"-address", "127.0.0.1:7000", "-http", "0.0.0.0:8000", "-site", "a"}
	table := []struct {
		name      string
		isReplica bool
		args      []string
		problems  []string
	}{
		{"good", false, good, nil},
		{"good replica", true, append(good, "-data", "d", "-founders", "1.1.1.1:1,1.1.1.2:1,1.1.1.3:1"), nil},
		{"no settings", true, nil, []string{"-address", "-http", "-site", "-data"}},
		{"host names instead of IP addresses", false,
			[]string{"-address", "host:7000", "-http", "h:1", "-site", "a b"}, []string{"-address", "-http", "-site"}},
		{"unreachable address", false, append(good, "-address", "0.0.0.0:7000"), []string{"cannot be reached"}},
		{"four seeds", false, append(good, "-seeds", "1.1.1.1:1,1.1.1.2:1,1.1.1.3:1,1.1.1.4:1"), []string{"at most three"}},
		{"two founders", true, append(good, "-data", "d", "-founders", "1.1.1.1:1,1.1.1.2:1"), []string{"three or none"}},
		{"unknown flag", false, append(good, "-moon", "1"), []string{"moon"}},
		{"data for a gateway", false, append(good, "-data", "d"), []string{"data"}},
		{"unexpected argument", false, append(good, "now"), []string{"now"}},
	}
	for _, row := range table {
		_, err := Parse("test", row.isReplica, row.args)
		if (err == nil) != (len(row.problems) == 0) {
			t.Errorf("%s: %v", row.name, err)
			continue
		}
		if err != nil && !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v is not ErrInvalid", row.name, err)
		}
		for _, problem := range row.problems {
			if !strings.Contains(err.Error(), problem) {
				t.Errorf("%s: %q is not reported in %v", row.name, problem, err)
			}
		}
	}
}

func TestPrecedenceOfSources(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	text := []byte("address 127.0.0.1:7000\nhttp 127.0.0.1:8000\nsite fromfile\n")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Parse("test", false, []string{"-settings", file})
	if err != nil || s.Zone != "fromfile" {
		t.Errorf("file: %+v %v", s, err)
	}
	t.Setenv("SORRELLOOM_SITE", "fromenv")
	if s, err = Parse("test", false, []string{"-settings", file}); err != nil || s.Zone != "fromenv" {
		t.Errorf("environment over file: %+v %v", s, err)
	}
	s, err = Parse("test", false, []string{"-settings", file, "-site", "fromflag"})
	if err != nil || s.Zone != "fromflag" {
		t.Errorf("flag over both: %+v %v", s, err)
	}
	if _, err = Parse("test", false, []string{"-version"}); !errors.Is(err, ErrInfoPrinted) {
		t.Errorf("version: %v", err)
	}
}
