package logging

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// captured returns the lines that log writes when logging as node.
func captured(t *testing.T, node string, log func()) string {
	t.Helper()
	var out strings.Builder
	previous := handler
	t.Cleanup(func() { handler = previous })
	handler = newHandler(&out, node)
	log()
	return out.String()
}

func TestLineFormat(t *testing.T) {
	for _, row := range []struct {
		name string
		log  func()
		want string
	}{
		{"no fields", func() { Info("stopped") }, `level=INFO event=stopped node=replica@10\.0\.0\.1:7000`},
		{"numbers and text", func() { Warn("disk_full", "file", "/data/log-1", "waitedMs", int64(50)) },
			`level=WARN event=disk_full node=replica@10\.0\.0\.1:7000 file=/data/log-1 waitedMs=50`},
		{"quoted text", func() { Error("storage_failed", "error", `write "x": no space`) },
			`level=ERROR event=storage_failed node=replica@10\.0\.0\.1:7000 error="write \\"x\\": no space"`},
		{"empty text", func() { Info("started", "zone", "") },
			`level=INFO event=started node=replica@10\.0\.0\.1:7000 zone=""`},
		{"a line break", func() { Info("panic", "stack", "a\nb") },
			`level=INFO event=panic node=replica@10\.0\.0\.1:7000 stack="a\\nb"`},
		{"a list", func() { Info("serving", "backups", []string{"a:1", "b:1"}) },
			`level=INFO event=serving node=replica@10\.0\.0\.1:7000 backups="\[a:1 b:1\]"`},
	} {
		t.Run(row.name, func(t *testing.T) {
			line := captured(t, "replica@10.0.0.1:7000", row.log)
			want := `^time=\d{4}-\d{2}-\d{2}T\d{2}:\d{2}:\d{2}\.\d{3}Z ` + row.want + "\n$"
			if !regexp.MustCompile(want).MatchString(line) {
				t.Errorf("got  %swant %s", line, want)
			}
		})
	}
}

// BenchmarkInfo logs lines with four fields to the null device.
func BenchmarkInfo(b *testing.B) {
	discard, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		b.Fatal(err)
	}
	defer discard.Close()
	previous := handler
	defer func() { handler = previous }()
	handler = newHandler(discard, "replica@10.0.0.1:7000")
	b.ReportAllocs()
	for b.Loop() {
		Info("serving", "epoch", uint64(4), "index", uint64(8123), "backup", "10.1.0.1:7000", "error", "a text with spaces")
	}
}
