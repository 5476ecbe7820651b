package settings

import (
	"fmt"
	"net"
	"os"
)

// MustListen listens on an address at the start of a program. If that fails, it prints the
// error and ends the process.
func MustListen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintf(os.Stderr, "http: %v\n", err)
		os.Exit(1)
	}
	return listener
}
