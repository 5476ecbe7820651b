package storage

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// fileSystem contains the file system operations that the store uses. Tests replace it to
// inject faults.
type fileSystem interface {
	// MakeDir creates a directory and its missing parents, and makes each of them durable by
	// syncing the directory that contains it.
	MakeDir(dir string) error
	// Lock takes an exclusive lock on a directory, which closing the result releases.
	Lock(dir string) (io.Closer, error)
	List(dir string) ([]string, error)
	Read(path string) ([]byte, error)
	// Create creates an empty file or truncates one; Open opens an existing file.
	Create(path string) (file, error)
	Open(path string) (file, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the file names in a directory durable.
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

// Sync makes the data durable, with only the metadata that is needed to read it back.
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
	// lockTimeout bounds the wait for the previous process to release the lock.
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
