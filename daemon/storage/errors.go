package storage

import (
	"errors"
	"fmt"
)

var (
	// ErrCorrupted means that a data file does not contain what was written to it.
	ErrCorrupted = errors.New("corrupted")
	// ErrUnusable means that a data file or the data directory cannot be used, for example
	// because the disk fails or another process holds the lock.
	ErrUnusable = errors.New("unusable")
	// ErrClosed means that the store was closed before or during the call.
	ErrClosed = errors.New("store is closed")
)

// PathError is an error that concerns one data file or the data directory.
type PathError struct {
	Path string
	// Class is ErrCorrupted or ErrUnusable.
	Class error
	Err   error
}

// Error names the path, the class and the cause.
func (e *PathError) Error() string { return fmt.Sprintf("%s is %v: %v", e.Path, e.Class, e.Err) }

// Unwrap returns the class and the cause.
func (e *PathError) Unwrap() []error { return []error{e.Class, e.Err} }

func corrupted(path string, err error) error { return &PathError{path, ErrCorrupted, err} }

func unusable(path string, err error) error { return &PathError{path, ErrUnusable, err} }
