package recorder

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/core/wire"
)

// Names and modes of the files in the data folder.
const (
	incarnationFile = "incarnation"
	lockFile        = "lock"
	logPrefix       = "log-"
	temporarySuffix = ".tmp"
	fileMode        = 0o600
	folderMode      = 0o700
)

// Config configures a Recorder.
type Config struct {
	Folder string
	Disk   Disk
}

// Recorder is the open data folder of one control member.
type Recorder struct {
	config Config
	lock   *os.File
	log    *os.File
	// logNumber is the number of the current log file, logLength the length of its whole frames.
	logNumber uint64
	logLength int64
	// tailDamaged is set if a failed write may have left bytes after logLength.
	tailDamaged bool
	// stray is set if a failed save may have left the log file after the current one.
	stray bool
	// state is the last one written, which a new log file repeats.
	state *wire.HardState
	// Restored is what the folder held when it was opened.
	Restored Restored
}

// NewRecorder opens or creates a data folder and reads what it holds.
func NewRecorder(c Config) (*Recorder, error) {
	if err := os.MkdirAll(c.Folder, folderMode); err != nil {
		return nil, errors.Wrap(err, "creating the data folder")
	}
	r := &Recorder{config: c}
	if err := r.open(); err != nil {
		_ = r.Close()
		return nil, err
	}
	return r, nil
}

// Save makes a write durable. After an error the write may or may not survive a crash, until
// another is saved.
func (r *Recorder) Save(w Write) error {
	if w.Empty() {
		return nil
	}
	if w.State == nil && w.Snapshot != nil {
		w.State = r.state // the new log replaces the one that holds it
	}
	b, err := encodeFrame(w)
	if err != nil {
		return err
	}
	if w.Snapshot != nil {
		err = r.startLog(b)
	} else {
		err = r.appendFrame(b)
	}
	if err == nil && w.State != nil {
		r.state = w.State
	}
	return err
}

// Close closes the log and releases the lock on the folder.
func (r *Recorder) Close() error {
	if r.log != nil {
		_ = r.log.Close() // every acknowledged write is synced
	}
	if r.lock == nil {
		return nil
	}
	return r.lock.Close()
}

func (r *Recorder) open() error {
	if err := r.acquireLock(); err != nil {
		return err
	}
	numbers, err := r.logNumbers()
	if err != nil {
		return err
	}
	if len(numbers) == 0 {
		return r.createFiles()
	}
	incarnation, err := r.readIncarnation()
	if err != nil {
		return err
	}
	if err := r.readLog(numbers); err != nil {
		return err
	}
	r.Restored.Incarnation = incarnation
	return nil
}

func (r *Recorder) acquireLock() error {
	f, err := os.OpenFile(r.path(lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "opening the lock file")
	}
	r.lock = f
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	return errors.Wrapf(err, "another process uses the data folder %s", r.config.Folder)
}

// createFiles draws an incarnation and starts its log. An incarnation without a log is replaced, since
// other members may know it as one that stored what is gone.
func (r *Recorder) createFiles() error {
	var random [8]byte
	_, _ = rand.Read(random[:]) // documented to never fail
	n := binary.LittleEndian.Uint64(random[:]) | 1
	f, err := r.config.Disk.createFile(r.path(incarnationFile), []byte(fmt.Sprintf("%016x\n", n)))
	if err != nil {
		return err
	}
	_ = f.Close() // it is synced
	r.Restored.Incarnation = n
	return r.startLog(nil)
}

func (r *Recorder) readIncarnation() (uint64, error) {
	b, err := os.ReadFile(r.path(incarnationFile))
	if os.IsNotExist(err) {
		return 0, errors.Errorf("the data folder %s holds a log but no incarnation", r.config.Folder)
	}
	if err != nil {
		return 0, errors.Wrap(err, "reading the incarnation")
	}
	n, err := strconv.ParseUint(strings.TrimSpace(string(b)), 16, 64)
	return n, errors.Wrap(err, "reading the incarnation")
}

// readLog reads the log file with the highest number and removes the others.
func (r *Recorder) readLog(numbers []uint64) error {
	r.logNumber = numbers[len(numbers)-1]
	path := r.logPath(r.logNumber)
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "reading the log")
	}
	restored, length, err := readFrames(b)
	if err != nil {
		return errors.Wrap(err, path)
	}
	r.Restored, r.state, r.logLength = restored, restored.State, length
	r.log, err = os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "opening the log")
	}
	if err := r.syncRead(); err != nil {
		return err
	}
	r.removeLogFiles(numbers[:len(numbers)-1])
	return nil
}

// syncRead makes what was read durable, and the names of the files: a killed process may have left
// either without a sync.
func (r *Recorder) syncRead() error {
	if r.Restored.TruncatedBytes > 0 {
		if err := r.truncateTail(); err != nil {
			return err
		}
	} else if err := r.config.Disk.Sync(r.log); err != nil {
		return errors.Wrap(err, "syncing the log")
	}
	return r.config.Disk.syncFolder(r.config.Folder)
}

// truncateTail drops the bytes after the last whole frame.
func (r *Recorder) truncateTail() error {
	if err := r.config.Disk.Truncate(r.log, r.logLength); err != nil {
		return errors.Wrap(err, "truncating the log")
	}
	return errors.Wrap(r.config.Disk.Sync(r.log), "syncing the log")
}

func (r *Recorder) appendFrame(b []byte) error {
	if err := r.removeStray(); err != nil {
		return err
	}
	if r.tailDamaged {
		if err := r.truncateTail(); err != nil {
			return err
		}
	}
	if _, err := r.log.Seek(r.logLength, 0); err != nil {
		return errors.Wrap(err, "seeking to the end of the log")
	}
	r.tailDamaged = true
	if _, err := r.config.Disk.Write(r.log, b); err != nil {
		return errors.Wrap(err, "writing the log")
	}
	if err := r.config.Disk.Sync(r.log); err != nil {
		return errors.Wrap(err, "syncing the log")
	}
	r.tailDamaged = false
	r.logLength += int64(len(b))
	return nil
}

// startLog creates a new log file with one frame, then removes the old file.
func (r *Recorder) startLog(frame []byte) error {
	number := r.logNumber + 1
	r.stray = true
	f, err := r.config.Disk.createFile(r.logPath(number), frame)
	if err != nil {
		return err
	}
	if r.log != nil {
		_ = r.log.Close() // the new file replaces it
		r.removeLogFiles([]uint64{r.logNumber})
	}
	r.log, r.logNumber, r.logLength, r.tailDamaged, r.stray = f, number, int64(len(frame)), false, false
	return nil
}

// removeStray removes the log file that a failed save may have left, which the next start would
// read instead of the current one.
func (r *Recorder) removeStray() error {
	if !r.stray {
		return nil
	}
	if err := r.config.Disk.Remove(r.logPath(r.logNumber + 1)); err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "removing a log")
	}
	if err := r.config.Disk.syncFolder(r.config.Folder); err != nil {
		return err
	}
	r.stray = false
	return nil
}

func (r *Recorder) removeLogFiles(numbers []uint64) {
	for _, n := range numbers {
		_ = r.config.Disk.Remove(r.logPath(n)) // a file that remains is removed at the next start
	}
}

func (r *Recorder) logNumbers() ([]uint64, error) {
	files, err := os.ReadDir(r.config.Folder)
	if err != nil {
		return nil, errors.Wrap(err, "reading the data folder")
	}
	var out []uint64
	for _, f := range files {
		digits, ok := strings.CutPrefix(f.Name(), logPrefix)
		if !ok || strings.HasSuffix(digits, temporarySuffix) {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 64)
		if err != nil {
			return nil, errors.Errorf("the data folder holds an unexpected file %s", f.Name())
		}
		out = append(out, n)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out, nil
}

func (r *Recorder) logPath(number uint64) string {
	return r.path(fmt.Sprintf("%s%016d", logPrefix, number))
}

func (r *Recorder) path(name string) string {
	return filepath.Join(r.config.Folder, name)
}
