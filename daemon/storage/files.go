// The file system, behind an interface that tests can put faults into.

package storage

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
	MakeDir(dir string) error
	// Lock keeps other processes out until it is closed.
	Lock(dir string) (io.Closer, error)
	List(dir string) ([]string, error)
	Read(path string) ([]byte, error)
	// Create makes an empty file; Open takes one that is there.
	Create(path string) (file, error)
	Open(path string) (file, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes the names in a folder last.
	SyncDir(dir string) error
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

type osFileSystem struct{}

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

func (osFileSystem) MakeDir(dir string) error {
	if _, err := os.Stat(dir); err == nil {
		return nil
	}
	parent := filepath.Dir(dir)
	if parent != dir {
		if err := (osFileSystem{}).MakeDir(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(dir, 0o700); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return osFileSystem{}.SyncDir(parent)
}

const (
	lockFileName      = "lock"
	lockTimeout       = time.Second
	lockRetryInterval = 20 * time.Millisecond
)

func (osFileSystem) Lock(dir string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for until := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
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

func (osFileSystem) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (osFileSystem) Read(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFileSystem) Create(path string) (file, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	return osFile{f}, err
}

func (osFileSystem) Open(path string) (file, error) {
	f, err := os.OpenFile(path, os.O_RDWR, 0o600)
	return osFile{f}, err
}

func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }
func (osFileSystem) Remove(path string) error     { return os.Remove(path) }

func (osFileSystem) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
