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

// stopTimeout bounds the wait for a process to exit after SIGTERM.
const stopTimeout = 10 * time.Second

// Process is one process of the fleet.
type Process struct {
	Name        string
	Role        string
	Address     string
	HTTPAddress string
	Zone        string

	listenAddress string // behind its proxy; empty without a proxy
	args          []string
	command       *exec.Cmd // nil if the process was never started, or was stopped or killed
	exited        chan struct{}
}

// isRunning reports whether the process was started and has not exited.
func (p *Process) isRunning() bool {
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

// kill kills the process, even if it is frozen, and waits until it has exited.
func (p *Process) kill() {
	if p.command == nil {
		return
	}
	p.command.Process.Signal(syscall.SIGCONT)
	p.command.Process.Kill()
	<-p.exited
	p.command = nil
}

// StartProcess starts a process. It returns an error if the process is running.
func (f *Fleet) StartProcess(name string) error {
	p, err := f.Process(name)
	if err != nil {
		return err
	}
	if p.isRunning() {
		return fmt.Errorf("start %s: already running", name)
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

// signal sends a signal to a process. It returns an error if the process is not running.
func (f *Fleet) signal(name string, signal syscall.Signal) (*Process, error) {
	p, err := f.Process(name)
	if err != nil {
		return nil, err
	}
	if !p.isRunning() {
		return nil, fmt.Errorf("signal %s: not running", name)
	}
	return p, p.command.Process.Signal(signal)
}

// Kill sends SIGKILL to a process and waits until it has exited.
func (f *Fleet) Kill(name string) error {
	p, err := f.signal(name, syscall.SIGKILL)
	if err == nil {
		<-p.exited
		p.command = nil
	}
	return err
}

// Stop sends SIGTERM to a process, and kills it if it has not exited after stopTimeout.
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

// Freeze suspends a process with SIGSTOP until Resume.
func (f *Fleet) Freeze(name string) error {
	_, err := f.signal(name, syscall.SIGSTOP)
	return err
}

// Resume resumes a frozen process.
func (f *Fleet) Resume(name string) error {
	_, err := f.signal(name, syscall.SIGCONT)
	return err
}

// WipeData deletes the data directory of a replica that is not running.
func (f *Fleet) WipeData(name string) error {
	p, err := f.Process(name)
	if err != nil {
		return err
	}
	if p.isRunning() || p.Role != RoleReplica {
		return fmt.Errorf("wipe %s: running, or not a replica", name)
	}
	return os.RemoveAll(f.dataDir(name))
}
