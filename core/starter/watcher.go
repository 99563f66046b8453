package starter

import (
	"bytes"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/logger"
)

// watchInterval is the pause between looks at the settings file, which may change without
// a signal.
const watchInterval = 2 * time.Second

// watcher reloads the settings on SIGHUP and when the file has changed.
type watcher struct {
	program Program
	path    string
	// seen is the last content that was judged.
	seen    []byte
	signals chan os.Signal
	done    chan struct{}
}

func newWatcher(p Program, path string) *watcher {
	w := &watcher{program: p, path: path, signals: make(chan os.Signal, 1), done: make(chan struct{})}
	w.seen, _ = os.ReadFile(path) // a file that can't be read now is looked at again
	signal.Notify(w.signals, syscall.SIGHUP)
	return w
}

func (w *watcher) stop() {
	signal.Stop(w.signals)
	close(w.done)
}

func (w *watcher) run() {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-w.signals:
			w.look(true)
		case <-t.C:
			w.look(false)
		}
	}
}

// look judges the file if it has changed; asked tells that a signal asked for it.
func (w *watcher) look(asked bool) {
	b, err := os.ReadFile(w.path)
	if err != nil {
		w.program.Logger().Log(logger.ReloadRefused, logger.F("error", errors.Wrap(err, "reading the settings")))
		return
	}
	if bytes.Equal(b, w.seen) {
		if asked {
			w.program.Logger().Log(logger.SettingsReloaded, logger.F("changed", false))
		}
		return
	}
	w.seen = b
	settings := loader.Parse(b)
	if w.program.Skip != nil {
		w.program.Skip(settings)
	}
	if err := w.program.Reload(settings); err != nil {
		w.program.Logger().Log(logger.ReloadRefused, logger.F("error", err))
		return
	}
	w.program.Logger().Log(logger.SettingsReloaded, logger.F("changed", true))
}
