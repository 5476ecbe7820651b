// Package settings reads a daemon's settings from flags, the process environment
// and a settings file, in that order of weight, and checks all of them at
// start: every fault is named at once, and none is guessed away.
package settings

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"os"
	"regexp"
	"runtime/debug"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3"
)

var (
	namespace  = errorx.NewNamespace("env")
	ErrInvalid = namespace.NewType("bad")
)

// Release is the program's version; builds may set it by -ldflags.
var Release = "0.1.0"

// Env is what every daemon needs to know of its place.
type Settings struct {
	Address       string
	ListenAddress string
	HTTPAddress   string
	Zone          string
	Seeds         []string
	Founders      []string
	DataDir       string
	AuditEnabled  bool
}

var ErrInfoPrinted = errors.New("shown")

var zonePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Parse reads the settings of one daemon. Keepers alone have a data folder.
func Parse(program string, keeper bool, args []string) (Settings, error) {
	var e Settings
	var seeds, founders string
	var version bool
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	fs.StringVar(&e.Address, "address", "", "IP:port where other daemons reach this one (needed)")
	fs.StringVar(&e.ListenAddress, "listen", "", "IP:port to listen on, where that differs from -address")
	fs.StringVar(&e.HTTPAddress, "http", "", "IP:port for HTTP: health and metrics, and on a front the API (needed)")
	fs.StringVar(&e.Zone, "site", "", "name of the site this machine stands in (needed)")
	fs.StringVar(&seeds, "seeds", "", "comma-separated IP:port of up to three daemons to begin from")
	fs.BoolVar(&version, "version", false, "print the version and end")
	fs.String("settings", "", "settings file with one 'name value' a line")
	if keeper {
		fs.StringVar(&e.DataDir, "data", "", "folder for the data file (needed)")
		fs.BoolVar(&e.AuditEnabled, "audit", true, "write the audit log into the data folder")
		fs.StringVar(&founders, "founders", "", "comma-separated IP:port of the three keepers that found the cluster")
	}
	fs.Usage = func() {
		fmt.Fprintf(fs.Output(), "%s: settings may come as flags, as SORRELLOOM_NAME in the environment,\n"+
			"or as lines in the file that -settings names.\n\n", program)
		fs.PrintDefaults()
	}
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix("SORRELLOOM"),
		ff.WithConfigFileFlag("settings"), ff.WithConfigFileParser(ff.PlainParser))
	if err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return Settings{}, ErrInfoPrinted
		}
		return Settings{}, ErrInvalid.New("%s: %v", program, err)
	}
	if version {
		fmt.Println(Version(program))
		return Settings{}, ErrInfoPrinted
	}
	e.Seeds, e.Founders = splitList(seeds), splitList(founders)
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	check := func(name, value string) {
		if at, err := netip.ParseAddrPort(value); err != nil {
			fault("-%s: %q is not an IP:port", name, value)
		} else if at.Port() == 0 || at.Addr().IsUnspecified() && name != "http" {
			fault("-%s: %q cannot be reached by others", name, value)
		}
	}
	check("address", e.Address)
	check("http", e.HTTPAddress)
	if e.ListenAddress == "" {
		e.ListenAddress = e.Address
	}
	if at, err := netip.ParseAddrPort(e.ListenAddress); err != nil && e.ListenAddress != e.Address || err == nil && at.Port() == 0 {
		fault("-listen: %q is not an IP:port", e.ListenAddress)
	}
	if !zonePattern.MatchString(e.Zone) {
		fault("-site: %q must match %s", e.Zone, zonePattern)
	}
	for _, s := range e.Seeds {
		check("seeds", s)
	}
	for _, s := range e.Founders {
		check("founders", s)
	}
	if len(e.Seeds) > 3 {
		fault("-seeds: at most three, not %d", len(e.Seeds))
	}
	if keeper && e.DataDir == "" {
		fault("-data: a keeper needs a folder")
	}
	if n := len(e.Founders); n != 0 && n != 3 {
		fault("-founders: three or none, not %d", n)
	}
	if fs.NArg() > 0 {
		fault("unexpected words: %s", strings.Join(fs.Args(), " "))
	}
	if len(faults) > 0 {
		return Settings{}, ErrInvalid.New("%s: %d faults in the settings:\n  %s", program, len(faults), strings.Join(faults, "\n  "))
	}
	return e, nil
}

// Version is the program's name, release and source revision.
func Version(program string) string {
	revision := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = " " + s.Value
			}
		}
	}
	return program + " " + Release + revision
}

func splitList(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// MustListen takes an HTTP address at start-up.
func MustListen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintf(os.Stderr, "http: %v\n", err)
		os.Exit(1)
	}
	return l
}
