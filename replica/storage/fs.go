package storage

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// ErrLocked is returned when another process uses the data folder.
var ErrLocked = errors.New("the data folder is in use by another process")

// FS provides the file operations on a data folder. Names are file names without
// a path. A method that needs an existing file returns a trace.NotFound error if the
// file is missing. Tests replace FS to inject errors and to drop data that was not
// synced.
type FS interface {
	// Create creates an empty file for writing; it truncates an existing one.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for writing at its end.
	OpenAppend(name string) (File, error)
	// ReadFile returns the content of a file.
	ReadFile(name string) ([]byte, error)
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// Rename renames a file and replaces an existing file named to.
	Rename(from, to string) error
	Remove(name string) error
	// Truncate shortens a file to size bytes.
	Truncate(name string, size int64) error
	// SyncDir makes the creation, renaming and removal of files durable.
	SyncDir() error
	// Stamp returns the inode number and the time of creation of a file.
	Stamp(name string) (Stamp, error)
	// Lock locks the folder for this process until the result is closed. It
	// returns ErrLocked if another process has locked the folder.
	Lock(name string) (io.Closer, error)
}

// Stamp identifies a file and distinguishes it from copies of it. The inode number
// alone is not enough, because a file system may reuse the number of a deleted
// file for a restored one.
type Stamp struct {
	Inode uint64 `json:"inode"`
	Born  int64  `json:"born"` // time of creation in Unix nanoseconds; 0 if unknown
}

// File is a file of a data folder, open for writing.
type File interface {
	io.Writer
	// Sync returns once all written data is durable.
	Sync() error
	Close() error
}

// Folder implements FS on a local file system.
type Folder struct{ path string }

// OpenFolder returns the folder at path. It creates the folder, with mode 0700, if
// it does not exist, and syncs the parent folder.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := syncPath(filepath.Dir(path)); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Folder{path: path}, nil
}

func (f *Folder) at(name string) string { return filepath.Join(f.path, name) }

// Create implements FS.
func (f *Folder) Create(name string) (File, error) {
	return wrapFile(os.OpenFile(f.at(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600))
}

// OpenAppend implements FS.
func (f *Folder) OpenAppend(name string) (File, error) {
	return wrapFile(os.OpenFile(f.at(name), os.O_WRONLY|os.O_APPEND, 0))
}

func wrapFile(file *os.File, err error) (File, error) {
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return file, nil
}

// ReadFile implements FS.
func (f *Folder) ReadFile(name string) ([]byte, error) {
	data, err := os.ReadFile(f.at(name))
	return data, trace.ConvertSystemError(err)
}

// List implements FS.
func (f *Folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Rename implements FS.
func (f *Folder) Rename(from, to string) error {
	return trace.ConvertSystemError(os.Rename(f.at(from), f.at(to)))
}

// Remove implements FS.
func (f *Folder) Remove(name string) error { return trace.ConvertSystemError(os.Remove(f.at(name))) }

// Truncate implements FS.
func (f *Folder) Truncate(name string, size int64) error {
	return trace.ConvertSystemError(os.Truncate(f.at(name), size))
}

// SyncDir implements FS.
func (f *Folder) SyncDir() error { return syncPath(f.path) }

// Stamp implements FS.
func (f *Folder) Stamp(name string) (Stamp, error) {
	var st unix.Statx_t
	if err := unix.Statx(unix.AT_FDCWD, f.at(name), 0, unix.STATX_INO|unix.STATX_BTIME, &st); err != nil {
		return Stamp{}, trace.ConvertSystemError(err)
	}
	return Stamp{Inode: st.Ino, Born: st.Btime.Sec*1e9 + int64(st.Btime.Nsec)}, nil
}

// Lock implements FS.
func (f *Folder) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(f.at(name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		file.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, trace.Wrap(ErrLocked)
		}
		return nil, trace.ConvertSystemError(err)
	}
	return file, nil
}

func syncPath(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer dir.Close()
	return trace.ConvertSystemError(dir.Sync())
}

// unstamped is an FS that returns the same stamp for all files.
type unstamped struct{ FS }

// WithoutStamps returns fs with the zero stamp for all files. It is for platforms
// that reattach a disk with different inode numbers. Copies of the data folder are
// not detected then.
func WithoutStamps(fs FS) FS { return unstamped{fs} }

// Stamp implements FS.
func (unstamped) Stamp(string) (Stamp, error) { return Stamp{}, nil }
