package storage

import (
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors/oserror"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-faster/errors"

	"peathollow/consensus"
)

const (
	folder = "hold" // subfolder of the data folder; the name dates from the first release
	// damagedPrefix starts the names of folders that were set aside; an increasing number follows.
	damagedPrefix = folder + ".damaged-"
	// maxDamaged is the number of these folders that are kept; the disk is small.
	maxDamaged = 3
)

// damaged is the error of a record that was read from disk without an error and is provably not what was written.
type damaged string

func (d damaged) Error() string { return string(d) }

// discardLogger drops pebble's log and turns its fatal errors into panics.
type discardLogger struct{}

func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(f string, a ...any) {
	panic(errors.Errorf(f, a...))
}

// Open opens the data folder or creates it. saved is nil if the folder is empty. damage states why earlier contents are
// provably wrong: in this case they are set aside and the store is empty. Any other failure is returned as err and leaves
// everything unchanged: another process that has the folder open, a full disk, a limit of open files, records of another
// format.
func Open(dir string) (s *Store, saved *consensus.Saved, damage, err error) {
	return OpenOn(vfs.Default, dir)
}

// OpenOn is Open on the given file system.
func OpenOn(fs vfs.FS, dir string) (s *Store, saved *consensus.Saved, damage, err error) {
	s, saved, err = open(fs, dir)
	if err == nil || !provablyWrong(err) {
		return s, saved, nil, err
	}
	damage = err
	if err := setAside(fs, dir); err != nil {
		return nil, nil, damage, errors.Wrap(err, "set aside")
	}
	s, saved, err = open(fs, dir)
	return s, saved, damage, err
}

// HadDamage reports whether contents of this disk were set aside, now or in an earlier incarnation. Such a machine must not
// take part in the cold start as a founder.
func (s *Store) HadDamage() bool { return s.predecessor }

// provablyWrong reports whether an error proves that the contents of the disk are damaged.
func provablyWrong(err error) bool {
	var d damaged
	return errors.As(err, &d) || pebble.IsCorruptionError(err)
}

// setAside renames the folder, which preserves its contents, and syncs the new name. The oldest folders set aside beyond the
// maximum are removed.
func setAside(fs vfs.FS, dir string) error {
	numbers, err := damagedFolders(fs, dir)
	if err != nil {
		return err
	}
	next := 1
	if len(numbers) > 0 {
		next = numbers[len(numbers)-1] + 1
	}
	name := func(n int) string { return filepath.Join(dir, damagedPrefix+strconv.Itoa(n)) }
	if err := fs.Rename(filepath.Join(dir, folder), name(next)); err != nil {
		return errors.Wrap(err, "rename")
	}
	for len(numbers) >= maxDamaged {
		if err := fs.RemoveAll(name(numbers[0])); err != nil {
			return errors.Wrap(err, "remove the oldest")
		}
		numbers = numbers[1:]
	}
	return syncFolder(fs, dir)
}

// damagedFolders returns the numbers of the folders set aside, in ascending order.
func damagedFolders(fs vfs.FS, dir string) ([]int, error) {
	names, err := fs.List(dir)
	if oserror.IsNotExist(err) {
		return nil, nil // created together with the store
	}
	if err != nil {
		return nil, errors.Wrap(err, "list")
	}
	var numbers []int
	for _, name := range names {
		if n, err := strconv.Atoi(strings.TrimPrefix(name, damagedPrefix)); err == nil && strings.HasPrefix(name, damagedPrefix) {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// syncFolder makes the names in a folder durable.
func syncFolder(fs vfs.FS, dir string) error {
	d, err := fs.OpenDir(dir)
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return errors.Wrap(err, "sync folder")
	}
	return nil
}

// open opens the store and reads the control state. On an error it closes the store again.
func open(fs vfs.FS, dir string) (*Store, *consensus.Saved, error) {
	numbers, err := damagedFolders(fs, dir)
	if err != nil {
		return nil, nil, err
	}
	cache := pebble.NewCache(512 << 10)
	defer cache.Unref()
	db, err := pebble.Open(filepath.Join(dir, folder), &pebble.Options{FS: retryFS{fs}, Cache: cache, MemTableSize: 1 << 20,
		MaxOpenFiles: 64, Logger: discardLogger{}, FormatMajorVersion: pebble.FormatNewest, MemTableStopWritesThreshold: 3})
	if err != nil {
		return nil, nil, errors.Wrap(err, "open")
	}
	s := &Store{db: db, predecessor: len(numbers) > 0}
	saved, err := s.load()
	if err != nil {
		db.Close()
		return nil, nil, err
	}
	return s, saved, nil
}

// load reads the control state, or returns nil if there is none.
func (s *Store) load() (*consensus.Saved, error) {
	saved, found := &consensus.Saved{}, 0
	for _, r := range []struct {
		key         string
		destination any
	}{{keyID, &saved.ID}, {keyVote, &saved.Vote}, {keyCopy, &saved.Copy}} {
		ok, err := s.read(r.key, r.destination)
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", r.key)
		}
		if ok {
			found++
		}
	}
	if saved.ID != "" {
		return saved, nil
	}
	if found > 0 {
		return nil, errors.Wrap(damaged("records without an id"), "read")
	}
	return nil, nil
}
