package recorder

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/filberthoist/filberthoist/core/seeder"
	"github.com/filberthoist/filberthoist/core/wire"
)

// TestMain uses a fixed seed unless one is given; -rapid.checks sets the number of runs.
func TestMain(m *testing.M) {
	os.Exit(seeder.Run(m, 300))
}

func TestRecorder(t *testing.T) {
	t.Run("what is saved is restored", func(t *testing.T) {
		is := is.New(t)
		folder := t.TempDir()
		r := openRecorder(t, folder, NewDisk())
		first := r.Restored.Incarnation
		is.NoErr(r.Save(writeOf(1, 3)))
		is.NoErr(r.Save(Write{State: &wire.HardState{Term: 2, Vote: 7}}))
		is.NoErr(r.Save(writeOf(3, 2))) // replaces entry 3
		is.NoErr(r.Close())
		r = openRecorder(t, folder, NewDisk())
		defer r.Close()
		is.Equal(r.Restored.Incarnation, first)
		is.Equal(r.Restored.State.GetVote(), uint64(7))
		checkIndexes(t, r.Restored, 1, 4)
	})
	t.Run("a snapshot replaces the log", func(t *testing.T) {
		is := is.New(t)
		folder := t.TempDir()
		r := openRecorder(t, folder, NewDisk())
		is.NoErr(r.Save(writeOf(1, 5)))
		is.NoErr(r.Save(Write{Snapshot: &wire.Snapshot{Index: 3, Term: 1}, Entries: writeOf(4, 2).Entries}))
		is.NoErr(r.Close())
		r = openRecorder(t, folder, NewDisk())
		defer r.Close()
		is.Equal(r.Restored.Snapshot.GetIndex(), uint64(3))
		checkIndexes(t, r.Restored, 4, 5)
		files, _ := filepath.Glob(filepath.Join(folder, logPrefix+"*"))
		is.Equal(len(files), 1)
	})
	t.Run("a second process is refused", func(t *testing.T) {
		is := is.New(t)
		folder := t.TempDir()
		r := openRecorder(t, folder, NewDisk())
		defer r.Close()
		_, err := NewRecorder(Config{Folder: folder, Disk: NewDisk()})
		is.True(err != nil)
	})
	t.Run("a new data folder has another incarnation", func(t *testing.T) {
		is := is.New(t)
		a, b := openRecorder(t, t.TempDir(), NewDisk()), openRecorder(t, t.TempDir(), NewDisk())
		defer a.Close()
		defer b.Close()
		is.True(a.Restored.Incarnation != b.Restored.Incarnation)
	})
	t.Run("a log without an incarnation is refused", func(t *testing.T) {
		is := is.New(t)
		folder := t.TempDir()
		is.NoErr(openRecorder(t, folder, NewDisk()).Close())
		is.NoErr(os.Remove(filepath.Join(folder, incarnationFile)))
		_, err := NewRecorder(Config{Folder: folder, Disk: NewDisk()})
		is.True(err != nil)
	})
}

// TestDamage truncates a log of three writes at every byte, and flips a bit in every byte.
func TestDamage(t *testing.T) {
	var log []byte
	var ends []int
	for i := range 3 {
		b, err := encodeFrame(writeOf(uint64(1+2*i), 2))
		if err != nil {
			t.Fatal(err)
		}
		log = append(log, b...)
		ends = append(ends, len(log))
	}
	t.Run("a torn tail keeps the writes before it", func(t *testing.T) {
		is := is.New(t)
		for n := range len(log) + 1 {
			r, _, err := readFrames(log[:n])
			is.NoErr(err)
			complete := 0
			for _, e := range ends {
				if e <= n {
					complete++
				}
			}
			is.Equal(len(r.Entries), 2*complete)
		}
	})
	t.Run("a flipped byte before the last write is corruption", func(t *testing.T) {
		is := is.New(t)
		for n := range ends[1] {
			_, _, err := readFrames(flipByte(log, n))
			is.True(errors.Is(err, ErrCorrupt))
		}
	})
	t.Run("a flipped byte in the last write cuts it", func(t *testing.T) {
		is := is.New(t)
		for n := ends[1]; n < len(log); n++ {
			r, length, err := readFrames(flipByte(log, n))
			is.NoErr(err)
			is.Equal(length, int64(ends[1]))
			is.Equal(len(r.Entries), 4)
		}
	})
}

// TestFailingDisk fails random disk operations; acknowledged writes must survive.
func TestFailingDisk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "recorder")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(folder)
		disk, failing := newFailingDisk(t)
		r := openRecorder(t, folder, NewDisk())
		want := r.Restored
		r.config.Disk = disk
		for i := range rapid.IntRange(1, 30).Draw(t, "writes") {
			w := writeOf(uint64(len(want.Entries)+int(want.Snapshot.GetIndex())+1), 1+i%3)
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				w = Write{Snapshot: &wire.Snapshot{Index: want.Snapshot.GetIndex() + uint64(len(want.Entries)), Term: 1}}
			}
			*failing = rapid.Bool().Draw(t, "fails")
			err := r.Save(w)
			*failing = false
			if err != nil && rapid.Bool().Draw(t, "crash") {
				break
			}
			if err != nil {
				err = r.Save(w)
			}
			if err != nil {
				t.Fatal(err)
			}
			want = want.Apply(w)
		}
		_ = r.Close()
		r = openRecorder(t, folder, NewDisk())
		defer r.Close()
		checkEntriesKept(t, r.Restored, want)
	})
}

func FuzzReadFrames(f *testing.F) {
	b, err := encodeFrame(writeOf(1, 2))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:len(b)-1])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, log []byte) {
		r, length, err := readFrames(log)
		if err == nil && length+r.TruncatedBytes != int64(len(log)) {
			t.Fatalf("%d read and %d cut of %d", length, r.TruncatedBytes, len(log))
		}
	})
}

func BenchmarkSave(b *testing.B) {
	r, err := NewRecorder(Config{Folder: b.TempDir(), Disk: NewDisk()})
	if err != nil {
		b.Fatal(err)
	}
	defer r.Close()
	for i := 0; b.Loop(); i++ {
		if err := r.Save(writeOf(uint64(i+1), 1)); err != nil {
			b.Fatal(err)
		}
	}
}

// newFailingDisk returns a Disk whose operations fail at random while failing is set; a failed
// write still writes half of the data.
func newFailingDisk(t *rapid.T) (disk Disk, failing *bool) {
	failing = new(bool)
	working := NewDisk()
	refuse := func() bool { return *failing && rapid.IntRange(0, 2).Draw(t, "refuse") == 0 }
	disk = working
	disk.Write = func(f *os.File, b []byte) (int, error) {
		if !refuse() {
			return working.Write(f, b)
		}
		n, _ := working.Write(f, b[:len(b)/2])
		return n, syscall.ENOSPC
	}
	disk.Sync = func(f *os.File) error {
		if refuse() {
			return syscall.EIO
		}
		return working.Sync(f)
	}
	disk.Truncate = func(f *os.File, size int64) error {
		if refuse() {
			return syscall.EIO
		}
		return working.Truncate(f, size)
	}
	disk.Rename = func(from, to string) error {
		if refuse() {
			return syscall.EIO
		}
		return working.Rename(from, to)
	}
	return disk, failing
}

func checkEntriesKept(t *rapid.T, got, want Restored) {
	if got.Snapshot.GetIndex() < want.Snapshot.GetIndex() {
		t.Fatalf("snapshot at %d, want %d", got.Snapshot.GetIndex(), want.Snapshot.GetIndex())
	}
	for _, e := range want.Entries {
		if e.GetIndex() <= got.Snapshot.GetIndex() {
			continue
		}
		i := int(e.GetIndex() - got.Snapshot.GetIndex() - 1)
		if i >= len(got.Entries) || !proto.Equal(got.Entries[i], e) {
			t.Fatalf("entry %d is lost", e.GetIndex())
		}
	}
}

func checkIndexes(t *testing.T, r Restored, first, last uint64) {
	t.Helper()
	is := is.New(t)
	is.Equal(uint64(len(r.Entries)), last-first+1)
	is.Equal(r.Entries[0].GetIndex(), first)
	is.Equal(r.Entries[len(r.Entries)-1].GetIndex(), last)
}

func writeOf(first uint64, n int) Write {
	var w Write
	for i := range uint64(n) {
		w.Entries = append(w.Entries, &wire.LogEntry{Index: first + i, Term: 1, Data: []byte(fmt.Sprint("data", first+i))})
	}
	return w
}

func flipByte(b []byte, n int) []byte {
	out := append([]byte(nil), b...)
	out[n] ^= 0x40
	return out
}

// testingT is the method that testing.T and rapid.T share.
type testingT interface {
	Fatal(args ...any)
}

func openRecorder(t testingT, folder string, d Disk) *Recorder {
	r, err := NewRecorder(Config{Folder: folder, Disk: d})
	if err != nil {
		t.Fatal(err)
	}
	return r
}
