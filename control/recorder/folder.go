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

// Config names the data folder.
type Config struct {
	Folder string
	Disk   Disk
}

// Recorder is the open data folder of one control member.
type Recorder struct {
	config   Config
	lock     *os.File
	log      *os.File
	number   uint64
	length   int64
	damaged  bool
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

// Save makes a write durable. After an error it may or may not outlast a crash, and
// only the same write may follow.
func (r *Recorder) Save(w Write) error {
	if w.Empty() {
		return nil
	}
	b, err := encodeFrame(w)
	if err != nil {
		return err
	}
	if w.Snapshot != nil {
		return r.startLog(b)
	}
	return r.appendFrame(b)
}

// Close releases the folder.
func (r *Recorder) Close() error {
	if r.log != nil {
		_ = r.log.Close() // all that counts is synced
	}
	if r.lock == nil {
		return nil
	}
	return r.lock.Close()
}

func (r *Recorder) open() error {
	if err := r.takeLock(); err != nil {
		return err
	}
	incarnation, err := r.readIncarnation()
	if err != nil {
		return err
	}
	if err := r.readLog(); err != nil {
		return err
	}
	r.Restored.Incarnation = incarnation
	return nil
}

func (r *Recorder) takeLock() error {
	f, err := os.OpenFile(r.path(lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "opening the lock")
	}
	r.lock = f
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	return errors.Wrapf(err, "another process uses the data folder %s", r.config.Folder)
}

func (r *Recorder) readIncarnation() (uint64, error) {
	b, err := os.ReadFile(r.path(incarnationFile))
	if err == nil {
		n, err := strconv.ParseUint(strings.TrimSpace(string(b)), 16, 64)
		return n, errors.Wrap(err, "reading the incarnation")
	}
	if !os.IsNotExist(err) {
		return 0, errors.Wrap(err, "reading the incarnation")
	}
	if logs, err := r.logNumbers(); err != nil || len(logs) > 0 {
		return 0, errors.Errorf("the data folder %s holds a log but no incarnation", r.config.Folder)
	}
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails, says crypto/rand
	n := binary.LittleEndian.Uint64(random[:]) | 1
	f, err := r.config.Disk.createFile(r.path(incarnationFile), []byte(fmt.Sprintf("%016x\n", n)))
	if err != nil {
		return 0, err
	}
	return n, f.Close()
}

func (r *Recorder) readLog() error {
	numbers, err := r.logNumbers()
	if err != nil {
		return err
	}
	if len(numbers) == 0 {
		return r.startLog(nil)
	}
	r.number = numbers[len(numbers)-1]
	path := r.logPath(r.number)
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "reading the log")
	}
	restored, length, err := readFrames(b)
	if err != nil {
		return errors.Wrap(err, path)
	}
	r.Restored, r.length = restored, length
	r.log, err = os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "opening the log")
	}
	r.removeLogs(numbers[:len(numbers)-1])
	if restored.CutBytes == 0 {
		return nil
	}
	return r.cut()
}

// cut drops what lies behind the last whole frame.
func (r *Recorder) cut() error {
	if err := r.config.Disk.Truncate(r.log, r.length); err != nil {
		return errors.Wrap(err, "cutting the log")
	}
	return errors.Wrap(r.config.Disk.Sync(r.log), "syncing the log")
}

func (r *Recorder) appendFrame(b []byte) error {
	if r.damaged {
		if err := r.cut(); err != nil {
			return err
		}
	}
	if _, err := r.log.Seek(r.length, 0); err != nil {
		return errors.Wrap(err, "finding the end of the log")
	}
	r.damaged = true
	if _, err := r.config.Disk.Write(r.log, b); err != nil {
		return errors.Wrap(err, "writing the log")
	}
	if err := r.config.Disk.Sync(r.log); err != nil {
		return errors.Wrap(err, "syncing the log")
	}
	r.damaged = false
	r.length += int64(len(b))
	return nil
}

// startLog begins a new log file with one frame, then drops the old file.
func (r *Recorder) startLog(frame []byte) error {
	number := r.number + 1
	f, err := r.config.Disk.createFile(r.logPath(number), frame)
	if err != nil {
		return err
	}
	if r.log != nil {
		_ = r.log.Close() // the new file replaces it
		r.removeLogs([]uint64{r.number})
	}
	r.log, r.number, r.length, r.damaged = f, number, int64(len(frame)), false
	return nil
}

func (r *Recorder) removeLogs(numbers []uint64) {
	for _, n := range numbers {
		_ = os.Remove(r.logPath(n)) // tried again at the next start
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
			return nil, errors.Errorf("the data folder holds a strange file %s", f.Name())
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
