package storage

import (
	"errors"
	"fmt"
)

var (
	// ErrCorrupted says that the content of a data file is not what was written.
	ErrCorrupted = errors.New("corrupted")
	// ErrUnusable says that a data file or the data directory cannot be used, for
	// instance since the disk fails or another process has locked it.
	ErrUnusable = errors.New("unusable")
	// ErrClosed says that the store is closed, or was closed during the call.
	ErrClosed = errors.New("the store is closed")
)

// PathError is a failure that concerns one data file or the data directory.
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
