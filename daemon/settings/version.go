package settings

import "runtime/debug"

// Release is the version of the programs, which a build may set by -ldflags.
var Release = "0.1.0"

// Version returns a program's name, release and source revision.
func Version(program string) string {
	revision := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				revision = " " + setting.Value
			}
		}
	}
	return program + " " + Release + revision
}
