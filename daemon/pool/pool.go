// Package pool is the one place where goroutines start. All of them run on one
// ants pool; a panic in any of them ends the process, since a daemon that has
// lost a part of itself must not go on as if it were whole.
package pool

import (
	"os"
	"runtime/debug"

	"github.com/panjf2000/ants/v2"
	"k8s.io/klog/v2"
)

var shared = mustPool()

func mustPool() *ants.Pool {
	p, err := ants.NewPool(-1, ants.WithPanicHandler(func(v any) {
		klog.Errorf("event=panic value=%q stack=%q", v, debug.Stack())
		klog.Flush()
		os.Exit(2)
	}))
	if err != nil {
		panic(err)
	}
	return p
}

// Go runs f on the pool.
func Go(f func()) {
	if err := shared.Submit(f); err != nil {
		panic(err)
	}
}
