package storage

import (
	"errors"
	"io"
	"maps"
	"slices"

	"github.com/gravitational/trace"
)

// memoryFS is an FS in memory. A simulated crash drops data that was not synced,
// and tests can make operations fail.
type memoryFS struct {
	files     map[string]*memoryFile // by their current names
	durable   map[string]*memoryFile // by the names that SyncDir has made durable
	inodes    uint64
	failing   map[string]error // error by operation: create, write, sync, rename, syncdir
	freeBytes int              // bytes that can still be written; unlimited if negative
}

type memoryFile struct {
	fs     *memoryFS
	inode  uint64
	data   []byte
	synced []byte // the data at the last Sync
}

func newMemory() *memoryFS {
	return &memoryFS{files: map[string]*memoryFile{}, durable: map[string]*memoryFile{}, failing: map[string]error{}, freeBytes: -1}
}

// crash drops the data that was not synced, except for the first keep bytes of the
// unsynced tail of each file, which count as having reached the disk.
func (m *memoryFS) crash(keep int) {
	m.files = maps.Clone(m.durable)
	for _, f := range m.files {
		tail := f.data[min(len(f.synced), len(f.data)):]
		f.data = append(slices.Clone(f.synced), tail[:min(keep, len(tail))]...)
		f.synced = slices.Clone(f.data)
	}
}

func (m *memoryFS) Create(name string) (File, error) {
	m.inodes++
	f := &memoryFile{fs: m, inode: m.inodes}
	m.files[name] = f
	return f, m.failing["create"]
}

func (m *memoryFS) get(name string) (*memoryFile, error) {
	if f, ok := m.files[name]; ok {
		return f, nil
	}
	return nil, trace.NotFound("%s does not exist", name)
}

func (m *memoryFS) OpenAppend(name string) (File, error) { return m.get(name) }

func (m *memoryFS) ReadFile(name string) ([]byte, error) {
	f, err := m.get(name)
	if err != nil {
		return nil, err
	}
	return slices.Clone(f.data), nil
}

func (m *memoryFS) List() ([]string, error) { return slices.Sorted(maps.Keys(m.files)), nil }

func (m *memoryFS) Rename(from, to string) error {
	f, err := m.get(from)
	if err != nil {
		return err
	}
	delete(m.files, from)
	m.files[to] = f
	return m.failing["rename"]
}

func (m *memoryFS) Remove(name string) error {
	_, err := m.get(name)
	delete(m.files, name)
	return err
}

func (m *memoryFS) Truncate(name string, size int64) error {
	f, err := m.get(name)
	if err == nil {
		f.data = f.data[:size]
		f.synced = f.synced[:min(int(size), len(f.synced))]
	}
	return err
}

func (m *memoryFS) SyncDir() error {
	if err := m.failing["syncdir"]; err != nil {
		return err
	}
	m.durable = maps.Clone(m.files)
	return nil
}

func (m *memoryFS) Stamp(name string) (Stamp, error) {
	f, err := m.get(name)
	if err != nil {
		return Stamp{}, err
	}
	return Stamp{Inode: f.inode}, nil
}

func (m *memoryFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

var errFull = errors.New("no space left on device")

func (f *memoryFile) Write(p []byte) (int, error) {
	if err := f.fs.failing["write"]; err != nil {
		return 0, err
	}
	n := len(p)
	if f.fs.freeBytes >= 0 {
		n = min(n, f.fs.freeBytes)
		f.fs.freeBytes -= n
	}
	f.data = append(f.data, p[:n]...)
	if n < len(p) {
		return n, errFull
	}
	return n, nil
}

func (f *memoryFile) Sync() error {
	if err := f.fs.failing["sync"]; err != nil {
		return err
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *memoryFile) Close() error { return nil }
