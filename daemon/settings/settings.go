// Package settings reads a daemon's settings from flags, environment variables
// SORRELLOOM_NAME and a settings file, in this order of precedence. All settings are checked
// at the start: all problems are reported together, and none is corrected automatically.
package settings

import (
	"errors"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3"
)

const environmentPrefix = "SORRELLOOM"

// ErrInfoPrinted is returned after the help text or the version was printed on request.
var ErrInfoPrinted = errors.New("help or version printed")

// ErrInvalid is wrapped by the errors for invalid settings.
var ErrInvalid = errors.New("invalid settings")

// InvalidError contains all problems with a daemon's settings. It wraps ErrInvalid.
type InvalidError struct {
	Program  string
	Problems []string
}

// Error lists the problems, one per line.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %d problems with the settings:\n  %s",
		e.Program, len(e.Problems), strings.Join(e.Problems, "\n  "))
}

// Unwrap returns ErrInvalid.
func (e *InvalidError) Unwrap() error { return ErrInvalid }

// Settings are the settings of a daemon.
type Settings struct {
	// Address is the IP:port at which other daemons reach this one. ListenAddress is the one
	// it listens on, which differs behind address translation.
	Address       string
	ListenAddress string
	// HTTPAddress is the IP:port that serves health, metrics and, on a gateway, the API.
	HTTPAddress string
	// Zone is the failure domain that the daemon runs in.
	Zone string
	// Seeds are the addresses of daemons through which this one joins the membership.
	Seeds []string
	// Founders are the addresses of the replicas that bootstrap the cluster; replicas only.
	Founders []string
	// DataDir is the data directory; replicas only.
	DataDir string
	// AuditEnabled enables the audit log; replicas only.
	AuditEnabled bool
}

// Parse reads and checks the settings of a daemon. It returns ErrInfoPrinted or an error that
// wraps ErrInvalid if the daemon should not start.
func Parse(program string, isReplica bool, args []string) (Settings, error) {
	var s Settings
	var seeds, founders string
	var showVersion bool
	flags := newFlagSet(program)
	flags.StringVar(&s.Address, "address", "", "IP:port at which other daemons reach this one (required)")
	flags.StringVar(&s.ListenAddress, "listen", "", "IP:port to listen on, if it differs from -address")
	flags.StringVar(&s.HTTPAddress, "http", "",
		"IP:port for HTTP: health and metrics, and on a gateway the API (required)")
	flags.StringVar(&s.Zone, "site", "", "name of this machine's zone (required)")
	flags.StringVar(&seeds, "seeds", "", "comma-separated IP:port of up to three daemons to join through")
	flags.BoolVar(&showVersion, "version", false, "print the version and exit")
	flags.String("settings", "", "settings file with one 'name value' per line")
	if isReplica {
		flags.StringVar(&s.DataDir, "data", "", "data directory (required)")
		flags.BoolVar(&s.AuditEnabled, "audit", true, "write the audit log into the data directory")
		flags.StringVar(&founders, "founders", "",
			"comma-separated IP:port of the three replicas that bootstrap the cluster")
	}
	err := ff.Parse(flags, args, ff.WithEnvVarPrefix(environmentPrefix),
		ff.WithConfigFileFlag("settings"), ff.WithConfigFileParser(ff.PlainParser))
	if errors.Is(err, flag.ErrHelp) {
		return Settings{}, ErrInfoPrinted
	}
	if err != nil {
		return Settings{}, fmt.Errorf("%s: %w: %w", program, ErrInvalid, err)
	}
	if showVersion {
		fmt.Println(Version(program))
		return Settings{}, ErrInfoPrinted
	}
	s.Seeds, s.Founders = splitList(seeds), splitList(founders)
	if s.ListenAddress == "" {
		s.ListenAddress = s.Address
	}
	if problems := check(s, isReplica, flags.Args()); len(problems) > 0 {
		return Settings{}, &InvalidError{program, problems}
	}
	return s, nil
}

func newFlagSet(program string) *flag.FlagSet {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.Usage = func() {
		fmt.Fprintf(flags.Output(), "%s: settings may come as flags, as %s_NAME in the environment,\n"+
			"or as lines in the file that -settings names.\n\n", program, environmentPrefix)
		flags.PrintDefaults()
	}
	return flags
}

// splitList splits a comma-separated list and omits empty elements.
func splitList(text string) []string {
	var parts []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}
