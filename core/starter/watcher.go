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

// watchInterval is the interval at which the settings file is checked for changes that no
// SIGHUP announced.
const watchInterval = 2 * time.Second

// watcher reloads the settings file when its content changes, checking it at intervals and on
// SIGHUP.
type watcher struct {
	program Program
	path    string
	// lastContent is the content at the last check, whether it was valid or not.
	lastContent []byte
	signals     chan os.Signal
	done        chan struct{}
}

// newWatcher returns a watcher whose program is still to be set. It receives SIGHUP from now on until
// the process exits, since the signal's default action would end the process.
func newWatcher(path string) *watcher {
	w := &watcher{path: path, signals: make(chan os.Signal, 1), done: make(chan struct{})}
	w.lastContent, _ = os.ReadFile(path) // on failure, the next check loads the file
	signal.Notify(w.signals, syscall.SIGHUP)
	return w
}

func (w *watcher) stop() {
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
			w.checkFile(true)
		case <-t.C:
			w.checkFile(false)
		}
	}
}

// checkFile reloads the file if it has changed and logs the result. An unchanged file is logged
// only after a signal.
func (w *watcher) checkFile(signalled bool) {
	b, err := os.ReadFile(w.path)
	if err != nil {
		w.program.Logger().Log(logger.ReloadRefused, logger.F("error", errors.Wrap(err, "reading the settings")))
		return
	}
	if bytes.Equal(b, w.lastContent) {
		if signalled {
			w.program.Logger().Log(logger.SettingsReloaded, logger.F("changed", false))
		}
		return
	}
	w.lastContent = b
	settings := loader.Parse(b)
	if w.program.ReadExtraSections != nil {
		w.program.ReadExtraSections(settings)
	}
	if err := w.program.Reload(settings); err != nil {
		w.program.Logger().Log(logger.ReloadRefused, logger.F("error", err))
		return
	}
	w.program.Logger().Log(logger.SettingsReloaded, logger.F("changed", true))
}
