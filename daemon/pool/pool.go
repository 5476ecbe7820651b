// Package pool starts the goroutines of a daemon, all on one ants pool. A panic in any of
// them ends the process, since a daemon must not continue without one of its parts.
package pool

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/panjf2000/ants/v2"

	"sorrelloom/daemon/logging"
)

const (
	unlimited     = -1
	panicExitCode = 2
)

var shared = mustNewPool()

func mustNewPool() *ants.Pool {
	pool, err := ants.NewPool(unlimited, ants.WithPanicHandler(func(value any) {
		logging.Error("panic", "value", fmt.Sprint(value), "stack", string(debug.Stack()))
		os.Exit(panicExitCode)
	}))
	if err != nil {
		panic(err)
	}
	return pool
}

// Go runs f on a goroutine of the pool.
func Go(f func()) {
	if err := shared.Submit(f); err != nil {
		panic(err)
	}
}
