package config

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration struct{ time.Duration }

// MarshalText implements encoding.TextMarshaler with the format of time.Duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It rejects negative durations.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err == nil && parsed < 0 {
		err = fmt.Errorf("negative duration %q", text)
	}
	d.Duration = parsed
	return err
}
