package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

const (
	maxSeeds     = 3
	founderCount = 3
)

var zonePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// checker collects the problems of a daemon's settings.
type checker struct{ problems []string }

// check returns all problems with the settings and the positional arguments, of which there
// should be none.
func check(s Settings, isReplica bool, arguments []string) []string {
	var c checker
	c.checkReachable("address", s.Address)
	c.checkHTTPAddress(s.HTTPAddress)
	c.checkListenAddress(s)
	if !zonePattern.MatchString(s.Zone) {
		c.addf("-site: %q must match %s", s.Zone, zonePattern)
	}
	for _, seed := range s.Seeds {
		c.checkReachable("seeds", seed)
	}
	for _, founder := range s.Founders {
		c.checkReachable("founders", founder)
	}
	if len(s.Seeds) > maxSeeds {
		c.addf("-seeds: at most three, not %d", len(s.Seeds))
	}
	if isReplica && s.DataDir == "" {
		c.addf("-data: a replica needs a data directory")
	}
	if count := len(s.Founders); count != 0 && count != founderCount {
		c.addf("-founders: three or none, not %d", count)
	}
	if len(arguments) > 0 {
		c.addf("unexpected arguments: %s", strings.Join(arguments, " "))
	}
	return c.problems
}

func (c *checker) addf(format string, args ...any) {
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// checkReachable checks an address that other daemons connect to.
func (c *checker) checkReachable(name, value string) {
	address, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		c.addf("-%s: %q is not an IP:port", name, value)
	case address.Port() == 0 || address.Addr().IsUnspecified():
		c.addf("-%s: %q cannot be reached by others", name, value)
	}
}

// checkHTTPAddress checks the HTTP address, which may be a wildcard address.
func (c *checker) checkHTTPAddress(value string) {
	address, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		c.addf("-http: %q is not an IP:port", value)
	case address.Port() == 0:
		c.addf("-http: %q cannot be reached by others", value)
	}
}

// checkListenAddress checks the listen address. If it was copied from -address, an invalid
// one is already reported for -address.
func (c *checker) checkListenAddress(s Settings) {
	address, err := netip.ParseAddrPort(s.ListenAddress)
	if err != nil && s.ListenAddress != s.Address || err == nil && address.Port() == 0 {
		c.addf("-listen: %q is not an IP:port", s.ListenAddress)
	}
}
