// Package starter implements the command line and the lifecycle that all server programs share.
package starter

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/logger"
)

// Exit statuses of a server program.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

// Source is the parsed settings file of a program.
type Source = *loader.Settings

// Config describes a program and how to compose it from its settings.
type Config struct {
	// Use is the name of the program and Short its description in the help text.
	Use   string
	Short string
	// PathVariable is the environment variable with the default path of the settings file; empty
	// if there is none.
	PathVariable string
	// Read validates the settings and returns a function that composes the program from them.
	Read func(Source) (compose func() Program, err error)
}

// Program is a composed program.
type Program struct {
	App *fx.App
	// ReadExtraSections is called before Reload and reads the sections that Reload does not know,
	// so that they are not reported as unknown; nil if there are none.
	ReadExtraSections func(Source)
	// Reload validates changed settings and applies those that can change at runtime. If it
	// returns an error, which lists all problems, the settings in force are kept.
	Reload func(Source) error
	// Logger returns the logger of the program.
	Logger func() logger.Logger
}

// SettingsError reports that a settings file is unreadable or invalid.
type SettingsError struct {
	Path   string
	Reason error
}

// Error returns the path, followed by the reasons on lines of their own.
func (e SettingsError) Error() string {
	return "the settings in " + e.Path + " are not usable:\n" + e.Reason.Error()
}

// Main runs a program until a signal stops it or it fails, and returns its exit status.
func Main(c Config) int {
	root := newCommand(c)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var settings SettingsError
	if errors.As(err, &settings) {
		return exitBadSettings
	}
	return exitFailed
}

func newCommand(c Config) *cobra.Command {
	var path string
	var check bool
	root := &cobra.Command{
		Use:           c.Use + " --settings FILE",
		Short:         c.Short,
		Example:       "  " + c.Use + " --settings /etc/filberthoist/settings.ini\n  " + c.Use + " --settings settings.ini --check",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			return run(c, path, check)
		},
	}
	fallback := ""
	if c.PathVariable != "" {
		fallback = os.Getenv(c.PathVariable)
	}
	root.Flags().StringVar(&path, "settings", fallback, "the settings file (INI)")
	root.Flags().BoolVar(&check, "check", false, "only check the settings")
	if fallback == "" {
		_ = root.MarkFlagRequired("settings") // fails only for an unknown flag
	}
	return root
}

// run checks the settings and, unless check is set, runs the program.
func run(c Config, path string, check bool) error {
	s, err := loader.Open(path)
	if err != nil {
		return SettingsError{Path: path, Reason: err}
	}
	compose, err := c.Read(s)
	if err != nil {
		return SettingsError{Path: path, Reason: err}
	}
	if check {
		return nil
	}
	w := newWatcher(path)
	// From here on, SIGTERM never ends the process at once: composing the program opens its listeners.
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	w.program = compose()
	return serve(w, terminated)
}

// serve runs the app until a signal stops it, even one from before the start, or one of its components
// fails.
func serve(w *watcher, terminated <-chan os.Signal) error {
	app := w.program.App
	if err := app.Err(); err != nil {
		return err
	}
	stopped := app.Wait()
	start, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		return err
	}
	go w.run()
	var end fx.ShutdownSignal
	select {
	case end = <-stopped:
	case <-terminated:
	}
	w.stop()
	stop, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stop); err != nil {
		return err
	}
	if end.ExitCode != 0 {
		return errors.New("the process stopped because a part of it failed; see its log")
	}
	return nil
}
