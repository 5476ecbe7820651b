package storage

import (
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

// errPowerLoss is returned by the call during which power is lost and by all later ones.
var errPowerLoss = fmt.Errorf("power lost")

// inode holds a file's content: synced is durable, current is what a reader sees.
type inode struct{ synced, current []byte }

// nameChange is a change to a directory that is not durable yet.
type nameChange struct {
	apply func(names map[string]*inode)
}

// faultyFileSystem is an in-memory file system that loses power after a number of calls. A
// power loss may leave many different disks: each file name changed since the last sync of
// the directory may have its old or its new state, and the data written to a file since its
// last sync may be there completely, partially or not at all.
type faultyFileSystem struct {
	names      map[string]*inode // the names that a reader sees
	durable    map[string]*inode // the names at the last sync of the directory
	changes    []nameChange
	calls      int
	failAtCall int // power is lost at this call; 0 means never
	// freeBytes is the remaining disk space; a negative number means no limit.
	freeBytes int64
	// syncErr, if set, is returned by each sync of a file.
	syncErr error
}

func newFaultyFileSystem() *faultyFileSystem {
	return &faultyFileSystem{names: map[string]*inode{}, durable: map[string]*inode{}, freeBytes: -1}
}

func (f *faultyFileSystem) call() error {
	f.calls++
	if f.failAtCall > 0 && f.calls >= f.failAtCall {
		return errPowerLoss
	}
	return nil
}

func (f *faultyFileSystem) change(apply func(map[string]*inode)) {
	apply(f.names)
	f.changes = append(f.changes, nameChange{apply})
}

func (f *faultyFileSystem) MakeDir(string) error           { return nil }
func (f *faultyFileSystem) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (f *faultyFileSystem) List(string) ([]string, error) {
	var out []string
	for path := range f.names {
		out = append(out, filepath.Base(path))
	}
	slices.Sort(out)
	return out, nil
}

func (f *faultyFileSystem) Read(path string) ([]byte, error) {
	node, ok := f.names[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(node.current), nil
}

func (f *faultyFileSystem) Create(path string) (file, error) {
	if err := f.call(); err != nil {
		return nil, err
	}
	if node, ok := f.names[path]; ok {
		node.current = nil
		return &faultyFile{f, node}, nil
	}
	node := &inode{}
	f.change(func(names map[string]*inode) { names[path] = node })
	return &faultyFile{f, node}, nil
}

func (f *faultyFileSystem) Open(path string) (file, error) {
	node, ok := f.names[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &faultyFile{f, node}, nil
}

func (f *faultyFileSystem) Rename(from, to string) error {
	if err := f.call(); err != nil {
		return err
	}
	node := f.names[from]
	f.change(func(names map[string]*inode) {
		// The old name may never have become durable by itself.
		delete(names, from)
		names[to] = node
	})
	return nil
}

func (f *faultyFileSystem) Remove(path string) error {
	if err := f.call(); err != nil {
		return err
	}
	node, ok := f.names[path]
	if !ok {
		return fs.ErrNotExist
	}
	if f.freeBytes >= 0 {
		f.freeBytes += int64(len(node.current))
	}
	f.change(func(names map[string]*inode) { delete(names, path) })
	return nil
}

func (f *faultyFileSystem) SyncDir(string) error {
	if err := f.call(); err != nil {
		return err
	}
	f.durable, f.changes = make(map[string]*inode, len(f.names)), nil
	for path, node := range f.names {
		f.durable[path] = node
	}
	return nil
}

type faultyFile struct {
	files *faultyFileSystem
	node  *inode
}

func (f *faultyFile) WriteAt(data []byte, at int64) (int, error) {
	if err := f.files.call(); err != nil {
		// The write during which power is lost takes effect in part.
		f.put(data[:len(data)/2], at)
		return 0, err
	}
	if f.files.freeBytes >= 0 && int64(len(data)) > f.files.freeBytes {
		n := int(f.files.freeBytes)
		f.put(data[:n], at)
		f.files.freeBytes = 0
		return n, syscall.ENOSPC
	}
	if f.files.freeBytes >= 0 {
		f.files.freeBytes -= int64(len(data))
	}
	f.put(data, at)
	return len(data), nil
}

func (f *faultyFile) put(data []byte, at int64) {
	now := slices.Clone(f.node.current)
	if missing := int(at) + len(data) - len(now); missing > 0 {
		now = append(now, make([]byte, missing)...)
	}
	copy(now[at:], data)
	f.node.current = now
}

func (f *faultyFile) Truncate(size int64) error {
	if err := f.files.call(); err != nil {
		return err
	}
	if f.files.freeBytes >= 0 {
		f.files.freeBytes += int64(len(f.node.current)) - size
	}
	f.node.current = slices.Clone(f.node.current[:size])
	return nil
}

func (f *faultyFile) Sync() error {
	if err := f.files.call(); err != nil {
		return err
	}
	if f.files.syncErr != nil {
		return f.files.syncErr
	}
	f.node.synced = f.node.current
	return nil
}

func (f *faultyFile) Close() error { return nil }

// possibleContents returns the contents that the file may have after a power loss.
func (n *inode) possibleContents() [][]byte {
	out := [][]byte{n.synced}
	if string(n.current) == string(n.synced) {
		return out
	}
	out = append(out, n.current)
	if len(n.current) > len(n.synced) {
		half := len(n.synced) + (len(n.current)-len(n.synced))/2
		out = append(out, n.current[:half])
		// The new length became durable, but the first half of the written data did not.
		holes := slices.Clone(n.current)
		clear(holes[len(n.synced):half])
		out = append(out, holes)
	}
	return out
}

// forEachPossibleDisk calls visit with every disk that a power loss may leave at this point.
func (f *faultyFileSystem) forEachPossibleDisk(visit func(name string, disk *faultyFileSystem)) {
	for set := range 1 << len(f.changes) {
		names := make(map[string]*inode, len(f.durable))
		for path, node := range f.durable {
			names[path] = node
		}
		for i, c := range f.changes {
			if set&(1<<i) != 0 {
				c.apply(names)
			}
		}
		paths := make([]string, 0, len(names))
		for path := range names {
			paths = append(paths, path)
		}
		slices.Sort(paths)
		chooseContents(paths, names, nil, func(contents [][]byte) {
			disk := newFaultyFileSystem()
			var description strings.Builder
			for i, path := range paths {
				node := &inode{contents[i], contents[i]}
				disk.names[path], disk.durable[path] = node, node
				fmt.Fprintf(&description, " %s:%d", path, len(contents[i]))
			}
			visit(fmt.Sprintf("names %b,%s", set, description.String()), disk)
		})
	}
}

func chooseContents(paths []string, names map[string]*inode, chosen [][]byte, visit func([][]byte)) {
	if len(chosen) == len(paths) {
		visit(chosen)
		return
	}
	for _, content := range names[paths[len(chosen)]].possibleContents() {
		chooseContents(paths, names, append(slices.Clone(chosen), content), visit)
	}
}
