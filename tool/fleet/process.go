package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"sorrelloom/daemon/pool"
)

// stopTimeout is how long a process may take to end when it is asked to.
const stopTimeout = 10 * time.Second

// Process is one process of the fleet.
type Process struct {
	Name        string
	Role        string
	Address     string
	HTTPAddress string
	Zone        string

	listenAddress string // behind a proxy; empty without one
	args          []string
	command       *exec.Cmd // nil if the process was not started, or was ended
	exited        chan struct{}
}

// running reports whether the process was started and has not ended, by itself or on request.
func (p *Process) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// end kills the process, also if it is frozen, and waits until it has ended.
func (p *Process) end() {
	if p.command == nil {
		return
	}
	p.command.Process.Signal(syscall.SIGCONT)
	p.command.Process.Kill()
	<-p.exited
	p.command = nil
}

// StartProcess starts a process that is not running.
func (f *Fleet) StartProcess(name string) error {
	p, err := f.Process(name)
	if err != nil {
		return err
	}
	if p.running() {
		return fmt.Errorf("start %s: it runs already", name)
	}
	if err := os.MkdirAll(f.config.Directory, 0o700); err != nil {
		return err
	}
	logFile := filepath.Join(f.config.Directory, name+".log")
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(f.config.BinaryDir, programs[p.Role]), p.args...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited = command, exited
	pool.Go(func() {
		command.Wait()
		close(exited)
	})
	return nil
}

// signal sends a signal to a process that runs.
func (f *Fleet) signal(name string, signal syscall.Signal) (*Process, error) {
	p, err := f.Process(name)
	if err != nil {
		return nil, err
	}
	if !p.running() {
		return nil, fmt.Errorf("signal %s: it does not run", name)
	}
	return p, p.command.Process.Signal(signal)
}

// Kill ends a process without warning and waits until it has ended.
func (f *Fleet) Kill(name string) error {
	p, err := f.signal(name, syscall.SIGKILL)
	if err == nil {
		<-p.exited
		p.command = nil
	}
	return err
}

// Stop asks a process to end, and kills it if it does not.
func (f *Fleet) Stop(name string) error {
	p, err := f.signal(name, syscall.SIGTERM)
	if err != nil {
		return err
	}
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.command.Process.Kill()
		<-p.exited
	}
	p.command = nil
	return nil
}

// Freeze stops a process where it stands, until Resume.
func (f *Fleet) Freeze(name string) error {
	_, err := f.signal(name, syscall.SIGSTOP)
	return err
}

// Resume lets a frozen process go on.
func (f *Fleet) Resume(name string) error {
	_, err := f.signal(name, syscall.SIGCONT)
	return err
}

// WipeData empties the data directory of a replica that does not run.
func (f *Fleet) WipeData(name string) error {
	p, err := f.Process(name)
	if err != nil {
		return err
	}
	if p.running() || p.Role != RoleReplica {
		return fmt.Errorf("wipe %s: it runs, or is no replica", name)
	}
	return os.RemoveAll(f.dataDir(name))
}
