package starter

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/core/logger"
)

// TestWatcher: changed settings are loaded on SIGHUP and without a signal, and a valid file is
// loaded after an invalid one.
func TestWatcher(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.ini")
	write := func(text string) { is.NoErr(os.WriteFile(path, []byte(text), 0o600)) }
	write("[a]\nb = 1\n")
	got := make(chan string, 10)
	w := newWatcher(path)
	w.program = Program{
		Logger: func() logger.Logger { return logger.Logger{} },
		Reload: func(s Source) error {
			r := s.Section("a")
			v := r.Int("b", 0, 1, 100)
			r.Finish()
			if err := s.Err(); err != nil {
				got <- "refused"
				return errors.Wrap(err, "test")
			}
			got <- map[bool]string{true: "two", false: "other"}[v == 2]
			return nil
		},
	}
	go w.run()
	defer w.stop()
	await := func(want string) {
		t.Helper()
		select {
		case v := <-got:
			is.Equal(v, want)
		case <-time.After(10 * time.Second):
			t.Fatal("the settings were not reloaded in time")
		}
	}
	write("[a]\nb = 2\n")
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	await("two")
	write("[a]\nb = x\n")
	await("refused") // without a signal
	write("[a]\nb = 3\n")
	await("other")
}
