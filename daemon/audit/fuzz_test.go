package audit

import (
	"bytes"
	"testing"
	"time"
)

// verifyTimeout bounds the verification of a small log.
const verifyTimeout = 10 * time.Second

// verifyWithTimeout verifies a log and fails the test if this takes longer than
// verifyTimeout.
func verifyWithTimeout(t *testing.T, dir string) Report {
	t.Helper()
	done := make(chan Report, 1)
	go func() {
		report, _ := Verify([]string{dir}, nil)
		done <- report
	}()
	select {
	case report := <-done:
		return report
	case <-time.After(verifyTimeout):
		t.Fatal("the verification timed out")
		return Report{}
	}
}

// TestVerifyTerminatesIfPreviousPointsForward changes the index of an entry's predecessor to the
// entry itself or to a later one. Following the predecessors must not loop forever.
func TestVerifyTerminatesIfPreviousPointsForward(t *testing.T) {
	for _, previous := range []string{"50", "60", "90", "18446744073709551615"} {
		dir := writeSignedLog(t, 10, 90)
		corruptFile(t, dir, entriesName, func(data []byte) []byte {
			return bytes.Replace(data, []byte(`"previous":40`), []byte(`"previous":`+previous), 1)
		})
		if report := verifyWithTimeout(t, dir); len(report.Findings) == 0 {
			t.Errorf("previous %s: no finding", previous)
		}
	}
}

// FuzzVerify verifies logs with arbitrary content.
func FuzzVerify(f *testing.F) {
	f.Add([]byte(`{"sequence":5,"previous":9}` + "\n" + `{"sequence":9,"previous":5}`))
	f.Add([]byte(`{"sequence":5,"previous":5}`))
	f.Add([]byte(`{"sequence":-1}` + "\n" + `{"sequence":1e99}` + "\n\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := writeSignedLog(t, 10, 20)
		corruptFile(t, dir, entriesName, func(entries []byte) []byte { return append(entries, data...) })
		verifyWithTimeout(t, dir)
	})
}
