package storage

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// fileSystem is what the store needs of a file system. Tests inject faults by another
// implementation.
type fileSystem interface {
	// MakeDir creates a directory and its parents, each synced in its own parent.
	MakeDir(dir string) error
	// Lock locks a directory against other processes until the result is closed.
	Lock(dir string) (io.Closer, error)
	List(dir string) ([]string, error)
	Read(path string) ([]byte, error)
	// Create creates an empty file or truncates one; Open opens an existing file.
	Create(path string) (file, error)
	Open(path string) (file, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the names in a directory durable.
	SyncDir(dir string) error
}

type file interface {
	io.WriterAt
	io.Closer
	Truncate(size int64) error
	Sync() error
}

// osFileSystem is the file system of the operating system.
type osFileSystem struct{}

// osFile is a file of the operating system.
type osFile struct{ *os.File }

// Sync makes the data durable, and of the metadata only what is needed to read it.
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
	// lockTimeout is how long a new process waits for the one it replaces.
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
