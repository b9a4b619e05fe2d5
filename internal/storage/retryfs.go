package storage

import (
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-faster/errors"
)

// retryInterval is the pause before an operation that the disk refused is retried.
const retryInterval = 100 * time.Millisecond

// retryFS is a file system that retries writes which the disk refuses for lack of space until they succeed. Without it
// pebble would end the process at the first refused write, and leave a log of which an unknown part was written. To the
// callers the disk hangs, which consensus handles: such a machine doesn't lead, confirm or vote meanwhile. A failed sync is
// not retried: which of its data was not written can't be determined, so the process ends and reads what is on the disk at
// its next start.
//
// It also makes the name of a new file durable with the first sync of its contents. A sync of the file alone doesn't
// guarantee that on every file system, and pebble marks a new manifest as the current one before it syncs the folder: a
// loss of power between the two could keep the mark and lose the manifest.
type retryFS struct{ vfs.FS }

// refused reports whether an error is a lack of space, after which the same write may succeed later.
func refused(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// retry repeats an operation until it isn't refused for lack of space.
func retry(operation func() error) error {
	for {
		err := operation()
		if !refused(err) {
			return err
		}
		time.Sleep(retryInterval)
	}
}

// retryOpen is retry for operations that return a file.
func retryOpen(open func() (vfs.File, error)) (vfs.File, error) {
	var f vfs.File
	err := retry(func() (err error) {
		f, err = open()
		return err
	})
	if err != nil {
		return nil, err
	}
	return &retryFile{File: f}, nil
}

func (r retryFS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	f, err := retryOpen(func() (vfs.File, error) { return r.FS.Create(name, c) })
	if created, ok := f.(*retryFile); ok {
		created.syncName = func() error { return syncFolder(r.FS, filepath.Dir(name)) }
	}
	return f, err
}

func (r retryFS) OpenReadWrite(name string, c vfs.DiskWriteCategory, opts ...vfs.OpenOption) (vfs.File, error) {
	return retryOpen(func() (vfs.File, error) { return r.FS.OpenReadWrite(name, c, opts...) })
}

func (r retryFS) ReuseForWrite(oldname, newname string, c vfs.DiskWriteCategory) (vfs.File, error) {
	return retryOpen(func() (vfs.File, error) { return r.FS.ReuseForWrite(oldname, newname, c) })
}

func (r retryFS) Rename(oldname, newname string) error {
	return retry(func() error { return r.FS.Rename(oldname, newname) })
}

func (r retryFS) Unwrap() vfs.FS { return r.FS }

// retryFile is a file of a retryFS.
type retryFile struct {
	vfs.File
	mu       sync.Mutex
	syncName func() error // nil once the name is durable
}

func (f *retryFile) Sync() error { return f.synced(f.File.Sync) }

func (f *retryFile) SyncData() error { return f.synced(f.File.SyncData) }

// synced runs a sync of the contents and then syncs the name, if that is still to be done.
func (f *retryFile) synced(sync func() error) error {
	if err := sync(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.syncName == nil {
		return nil
	}
	if err := f.syncName(); err != nil {
		return err
	}
	f.syncName = nil
	return nil
}

// Write retries after a refusal with the bytes that were not written.
func (f *retryFile) Write(b []byte) (int, error) {
	written := 0
	err := retry(func() error {
		n, err := f.File.Write(b[written:])
		written += n
		return err
	})
	return written, err
}

func (f *retryFile) WriteAt(b []byte, offset int64) (int, error) {
	written := 0
	err := retry(func() error {
		n, err := f.File.WriteAt(b[written:], offset+int64(written))
		written += n
		return err
	})
	return written, err
}

// Preallocate ignores a refusal, since preallocation only affects speed.
func (f *retryFile) Preallocate(offset, length int64) error {
	if err := f.File.Preallocate(offset, length); !refused(err) {
		return err
	}
	return nil
}
