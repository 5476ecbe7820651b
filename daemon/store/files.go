package store

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// fileSystem is what the store needs of one; tests put faults into another.
type fileSystem interface {
	// MakeFolder makes the folder and those above it, each synced into its parent.
	MakeFolder(folder string) error
	// Lock keeps other processes out until it is closed.
	Lock(folder string) (io.Closer, error)
	List(folder string) ([]string, error)
	Read(path string) ([]byte, error)
	// Create makes an empty file; Open takes one that is there.
	Create(path string) (file, error)
	Open(path string) (file, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes the names in a folder last.
	SyncFolder(folder string) error
}

type file interface {
	io.WriterAt
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// diskFull says whether an error means that there is no room, which may pass.
func diskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

type osFiles struct{}

type osFile struct{ *os.File }

// Sync makes the data last, and of what describes it only what reading needs.
func (f osFile) Sync() error {
	for {
		err := syscall.Fdatasync(int(f.Fd()))
		if err != syscall.EINTR {
			return err
		}
	}
}

func (osFiles) MakeFolder(folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return nil
	}
	parent := filepath.Dir(folder)
	if parent != folder {
		if err := (osFiles{}).MakeFolder(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(folder, 0o700); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return osFiles{}.SyncFolder(parent)
}

const (
	lockName  = "lock"
	lockWait  = time.Second
	lockRetry = 20 * time.Millisecond
)

func (osFiles) Lock(folder string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for until := time.Now().Add(lockWait); ; time.Sleep(lockRetry) {
		err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return f, nil
		}
		if time.Now().After(until) {
			f.Close()
			return nil, err
		}
	}
}

func (osFiles) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (osFiles) Read(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFiles) Create(path string) (file, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	return osFile{f}, err
}

func (osFiles) Open(path string) (file, error) {
	f, err := os.OpenFile(path, os.O_RDWR, 0o600)
	return osFile{f}, err
}

func (osFiles) Rename(from, to string) error { return os.Rename(from, to) }
func (osFiles) Remove(path string) error     { return os.Remove(path) }

func (osFiles) SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
