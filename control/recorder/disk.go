package recorder

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Disk holds the operations that change files or make changes durable; tests replace them.
type Disk struct {
	// Create opens an empty file, whether or not it exists.
	Create   func(path string) (*os.File, error)
	Write    func(f *os.File, b []byte) (int, error)
	Sync     func(f *os.File) error
	Truncate func(f *os.File, size int64) error
	Rename   func(from, to string) error
	Remove   func(path string) error
}

// NewDisk returns the operations of the operating system.
func NewDisk() Disk {
	return Disk{
		Create: func(path string) (*os.File, error) {
			return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR, fileMode)
		},
		Write:    func(f *os.File, b []byte) (int, error) { return f.Write(b) },
		Sync:     func(f *os.File) error { return f.Sync() },
		Truncate: func(f *os.File, size int64) error { return f.Truncate(size) },
		Rename:   os.Rename,
		Remove:   os.Remove,
	}
}

// createFile writes and syncs a file under a temporary name, renames it to path and syncs the
// folder. It returns the file open.
func (d Disk) createFile(path string, content []byte) (*os.File, error) {
	temporary := path + temporarySuffix
	f, err := d.Create(temporary)
	if err != nil {
		return nil, errors.Wrap(err, "creating a file")
	}
	if err := d.writeAndSync(f, content); err != nil {
		_ = f.Close()
		_ = d.Remove(temporary) // the file is incomplete and never read
		return nil, err
	}
	if err := d.Rename(temporary, path); err != nil {
		_ = f.Close()
		return nil, errors.Wrap(err, "renaming a file")
	}
	if err := d.syncFolder(filepath.Dir(path)); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

func (d Disk) writeAndSync(f *os.File, content []byte) error {
	if _, err := d.Write(f, content); err != nil {
		return errors.Wrap(err, "writing a file")
	}
	return errors.Wrap(d.Sync(f), "syncing a file")
}

func (d Disk) syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "opening the data folder")
	}
	defer f.Close()
	return errors.Wrap(d.Sync(f), "syncing the data folder")
}
