// Command standin plays one case of the review: it starts the project's own program with the
// commands of the deploy file, on loopback addresses, plays clients, workers and the operator
// by the users' pages, and judges what these saw on their sockets.
//
//	standin CASE FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// maxRunTime is by when a case has ended, whatever happens.
const maxRunTime = 112 * time.Second

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) now() time.Duration { return time.Since(r.start) }

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

// abort ends a case that could not run.
type abort struct{ reason string }

func cannot(format string, args ...any) { panic(abort{fmt.Sprintf(format, args...)}) }

var cases = map[string]func(*play){
	"late-beats":    playLateBeats,
	"wide-gang":     playWideGang,
	"tenant-limit":  playTenantLimit,
	"only-worker":   playOnlyWorker,
	"renamed-route": playRenamedRoute,
}

func main() { os.Exit(runCase()) }

func runCase() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return cannotRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer file.Close()
	rec := &recorder{file: file, start: time.Now()}
	p := &play{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	result := make(chan int, 1)
	go func() { result <- p.judge(cases[os.Args[1]]) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code = <-result:
	case <-interrupted:
		code = cannotRun
	case <-time.After(maxRunTime):
		rec.log("the case took too long")
		code = cannotRun
	}
	p.close()
	rec.log("exit code %d", code)
	return code
}

// judge plays a case and returns its exit code.
func (p *play) judge(play func(*play)) (code int) {
	defer func() {
		if r := recover(); r != nil {
			a, ok := r.(abort)
			if !ok {
				panic(r)
			}
			p.rec.log("cannot run: %s", a.reason)
			fmt.Fprintln(os.Stderr, "cannot run:", a.reason)
			code = cannotRun
		}
	}()
	play(p)
	p.checkProcesses()
	for _, violation := range p.violations {
		p.rec.log("BROKEN %s", violation)
		fmt.Println("BROKEN", violation)
	}
	if len(p.violations) > 0 {
		return broken
	}
	p.rec.log("the rule held")
	fmt.Println("the rule held")
	return held
}
