package recorder

import (
	"bytes"
	"maps"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/core/wire"
)

var errCrashed = errors.New("the process has ended")

// lossyDisk is a model of a disk over a real folder: the folder holds what the process sees, the
// model what a power loss leaves of it. The process ends at the operation that crashAt counts down
// to; all later ones fail.
type lossyDisk struct {
	folder string
	files  map[*os.File]*lossyFile
	// names are the files by name as the process sees them, syncedNames as the last sync of the
	// folder left them, and changes what happened to names in between.
	names       map[string]*lossyFile
	syncedNames map[string]*lossyFile
	changes     []nameChange
	crashAt     int
	crashed     bool
	// fails reports whether an operation fails although the process goes on.
	fails func() bool
	// choose returns a number in [0, n).
	choose func(what string, n int) int
}

// lossyFile is the content of a file as of its last sync, and what was written since.
type lossyFile struct {
	synced []byte
	writes []fileChange
}

// fileChange is a write of data at an offset, or a truncation to the offset if data is nil.
type fileChange struct {
	offset int64
	data   []byte
}

// nameChange is a created, removed or renamed name; to is empty for a removed one and from for a
// created one.
type nameChange struct {
	from, to string
	file     *lossyFile
}

func newLossyDisk(folder string) *lossyDisk {
	return &lossyDisk{
		folder: folder, files: map[*os.File]*lossyFile{}, names: map[string]*lossyFile{}, syncedNames: map[string]*lossyFile{},
		crashAt: -1, fails: func() bool { return false }, choose: func(string, int) int { return 0 },
	}
}

func (d *lossyDisk) disk() Disk {
	return Disk{Create: d.create, Write: d.write, Sync: d.sync, Truncate: d.truncate, Rename: d.rename, Remove: d.remove}
}

// step counts an operation and returns an error if it has no effect.
func (d *lossyDisk) step() error {
	if d.crashAt == 0 {
		d.crashed = true
	}
	if d.crashed {
		return errCrashed
	}
	d.crashAt--
	if d.fails() {
		return syscall.EIO
	}
	return nil
}

func (d *lossyDisk) create(path string) (*os.File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	f, err := NewDisk().Create(path)
	if err != nil {
		return nil, err
	}
	name := filepath.Base(path)
	if d.names[name] == nil {
		d.names[name] = &lossyFile{}
		d.changes = append(d.changes, nameChange{to: name, file: d.names[name]})
	}
	d.files[f] = d.names[name]
	d.files[f].writes = append(d.files[f].writes, fileChange{})
	return f, nil
}

// write writes a part of the data if it fails.
func (d *lossyDisk) write(f *os.File, b []byte) (int, error) {
	over := d.crashed
	failure := d.step()
	if over {
		return 0, failure
	}
	if failure != nil {
		b = b[:d.choose("written", len(b)+1)]
	}
	offset, err := f.Seek(0, 1)
	if err != nil {
		return 0, err
	}
	n, err := f.Write(b)
	if err != nil {
		return n, err
	}
	l := d.file(f)
	l.writes = append(l.writes, fileChange{offset, bytes.Clone(b)})
	return n, failure
}

func (d *lossyDisk) sync(f *os.File) error {
	if err := d.step(); err != nil {
		return err
	}
	if i, err := f.Stat(); err != nil || i.IsDir() {
		d.syncedNames, d.changes = maps.Clone(d.names), nil
		return err
	}
	l := d.file(f)
	for _, w := range l.writes {
		l.synced = w.apply(l.synced)
	}
	l.writes = nil
	return nil
}

func (d *lossyDisk) truncate(f *os.File, size int64) error {
	if err := d.step(); err != nil {
		return err
	}
	l := d.file(f)
	l.writes = append(l.writes, fileChange{offset: size})
	return f.Truncate(size)
}

func (d *lossyDisk) rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.change(nameChange{filepath.Base(from), filepath.Base(to), d.names[filepath.Base(from)]})
	return os.Rename(from, to)
}

func (d *lossyDisk) remove(path string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.change(nameChange{from: filepath.Base(path)})
	return os.Remove(path)
}

func (d *lossyDisk) change(c nameChange) {
	d.changes = append(d.changes, c)
	c.apply(d.names)
}

// file returns the model of an open file; one that was not created here is known by its name.
func (d *lossyDisk) file(f *os.File) *lossyFile {
	if l := d.files[f]; l != nil {
		return l
	}
	d.files[f] = d.names[filepath.Base(f.Name())]
	return d.files[f]
}

// restart is a start after a kill: the folder is as it was, also what was not synced.
func (d *lossyDisk) restart() {
	d.crashed, d.crashAt = false, -1
}

// losePower leaves what was synced, and any part of the rest.
func (d *lossyDisk) losePower(t testingT) {
	d.restart()
	all := d.choose("all later writes are gone", 2) == 0
	for _, c := range d.changes {
		what := "name kept"
		if c.to == "" {
			what = "removal kept"
		}
		if d.choose(what, 2) == 1 {
			c.apply(d.syncedNames)
		}
	}
	d.names, d.changes = maps.Clone(d.syncedNames), nil
	old, _ := filepath.Glob(filepath.Join(d.folder, "*"))
	for _, path := range old {
		_ = os.Remove(path)
	}
	done := map[*lossyFile]bool{}
	for name, l := range d.names {
		if !done[l] {
			l.lose(all, d.choose)
			done[l] = true
		}
		if err := os.WriteFile(filepath.Join(d.folder, name), l.synced, fileMode); err != nil {
			t.Fatal(err)
		}
	}
}

// lose drops the writes that were not synced, or leaves any of them, whole or torn.
func (l *lossyFile) lose(all bool, choose func(string, int) int) {
	for _, w := range l.writes {
		if all {
			break
		}
		switch choose("write kept", 3) {
		case 1:
			l.synced = w.apply(l.synced)
		case 2:
			w.data = w.data[:choose("torn at", len(w.data)+1)]
			if len(w.data) > 0 {
				l.synced = w.apply(l.synced)
			}
		}
	}
	l.writes = nil
}

func (w fileChange) apply(content []byte) []byte {
	length := int(w.offset) + len(w.data)
	out := append(bytes.Clone(content), make([]byte, max(0, length-len(content)))...)
	if w.data == nil {
		return out[:length]
	}
	copy(out[w.offset:], w.data)
	return out
}

func (c nameChange) apply(names map[string]*lossyFile) {
	delete(names, c.from)
	if c.to != "" {
		names[c.to] = c.file
	}
}

// crash opens the folder and saves until the process ends at an operation, counted from the start
// of the save, or of the start if there is nothing to save.
func crash(t *testing.T, d *lossyDisk, at int, w Write) {
	t.Helper()
	if w.Empty() {
		d.crashAt = at
	}
	r, err := NewRecorder(Config{Folder: d.folder, Disk: d.disk()})
	if err == nil {
		d.crashAt = at
		err = r.Save(w)
		_ = r.Close()
	}
	if !errors.Is(err, errCrashed) {
		t.Fatalf("the process did not end: %v", err)
	}
	d.restart()
}

// save opens the folder, saves and stops. It returns what the folder held.
func save(t *testing.T, d *lossyDisk, writes ...Write) Restored {
	t.Helper()
	r := openRecorder(t, d.folder, d.disk())
	defer r.Close()
	for _, w := range writes {
		if err := r.Save(w); err != nil {
			t.Fatal(err)
		}
	}
	return r.Restored
}

// Guards against a second vote in a term after a snapshot from the leader and a restart.
func TestSnapshotKeepsVote(t *testing.T) {
	is := is.New(t)
	d := newLossyDisk(t.TempDir())
	save(t, d, Write{State: &wire.HardState{Term: 3, Vote: 7}}, Write{Snapshot: &wire.Snapshot{Index: 9, Term: 2}})
	got := save(t, d)
	is.Equal(got.Snapshot.GetIndex(), uint64(9))
	is.Equal(got.State.GetTerm(), uint64(3))
	is.Equal(got.State.GetVote(), uint64(7))
}

// Guards against acknowledging entries that a start read before they were synced.
func TestStartSyncsWhatItRead(t *testing.T) {
	is := is.New(t)
	d := newLossyDisk(t.TempDir())
	save(t, d, writeOf(1, 1))
	crash(t, d, 1, writeOf(2, 1)) // the write is done, its sync is not
	is.Equal(len(save(t, d).Entries), 2)
	d.losePower(t)
	is.Equal(len(save(t, d).Entries), 2)
}

// Guards against the loss of both logs: of the new one's name, and of the old one to its removal.
func TestStartSyncsNamesBeforeRemoval(t *testing.T) {
	is := is.New(t)
	d := newLossyDisk(t.TempDir())
	save(t, d, writeOf(1, 3))
	const renamed = 4 // a new log is created, written, synced and renamed
	crash(t, d, renamed, Write{Snapshot: &wire.Snapshot{Index: 3, Term: 1}})
	first := save(t, d)
	is.Equal(first.Snapshot.GetIndex(), uint64(3))
	d.choose = func(what string, _ int) int {
		if what == "removal kept" {
			return 1
		}
		return 0
	}
	d.losePower(t)
	again := save(t, d)
	is.Equal(again.Incarnation, first.Incarnation)
	is.Equal(again.Snapshot.GetIndex(), uint64(3))
}

// Guards against a member without a log under an identity that others may know.
func TestNoLogMeansNewIncarnation(t *testing.T) {
	is := is.New(t)
	d := newLossyDisk(t.TempDir())
	first := save(t, d, writeOf(1, 3))
	logs, err := filepath.Glob(filepath.Join(d.folder, logPrefix+"*"))
	is.NoErr(err)
	for _, l := range logs {
		is.NoErr(d.remove(l))
	}
	is.True(save(t, d).Incarnation != first.Incarnation)
}

// Guards against a new log whose save failed, and that replaces a later write at the next start.
func TestFailedSnapshotLeavesLaterWrites(t *testing.T) {
	is := is.New(t)
	d := newLossyDisk(t.TempDir())
	r := openRecorder(t, d.folder, d.disk())
	is.NoErr(r.Save(writeOf(1, 1)))
	operations := 0
	d.fails = func() bool { operations++; return operations == 5 } // the sync of the folder
	is.True(r.Save(Write{Snapshot: &wire.Snapshot{Index: 1, Term: 1}}) != nil)
	is.NoErr(r.Save(writeOf(2, 1)))
	is.NoErr(r.Close())
	is.Equal(len(save(t, d).Entries), 2)
	d.losePower(t)
	is.Equal(len(save(t, d).Entries), 2)
}
