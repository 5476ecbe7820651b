package settings

import (
	"fmt"
	"net"
	"os"
)

// MustListen listens on an address when a program starts. On failure, it prints the error and
// exits.
func MustListen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintf(os.Stderr, "http: %v\n", err)
		os.Exit(1)
	}
	return listener
}
