// Package starter is the command line that all server programs share.
package starter

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/logger"
)

// Exit statuses of a server program.
const (
	statusFailed   = 1
	statusSettings = 2
)

// Source is the settings file that a program is started with.
type Source = *loader.Settings

// Config names a program and composes it from its settings.
type Config struct {
	Use   string
	Short string
	// Variable names the environment variable that holds the path of the settings where the
	// command line does not say; empty for none.
	Variable string
	// Read checks the settings and returns what composes the program from them.
	Read func(Source) (compose func() Program, err error)
}

// Program is a composed program.
type Program struct {
	App *fx.App
	// Skip reads the sections of settings that are not the program's own before Reload does;
	// nil means that there are none.
	Skip func(Source)
	// Reload checks changed settings and puts in force what can change while the program
	// runs. Its error lists every fault; the settings in force then stay.
	Reload func(Source) error
	Logger func() logger.Logger
}

// SettingsError tells that a settings file can't be used, and every reason.
type SettingsError struct {
	Path   string
	Reason error
}

// Error lists the reasons below the path.
func (e SettingsError) Error() string {
	return "the settings in " + e.Path + " are not usable:\n" + e.Reason.Error()
}

// Main runs a program until it is told to stop and returns its exit status.
func Main(c Config) int {
	root := newCommand(c)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	var settings SettingsError
	if errors.As(err, &settings) {
		return statusSettings
	}
	return statusFailed
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
	if c.Variable != "" {
		fallback = os.Getenv(c.Variable)
	}
	root.Flags().StringVar(&path, "settings", fallback, "the settings file (INI)")
	root.Flags().BoolVar(&check, "check", false, "only check the settings")
	if fallback == "" {
		_ = root.MarkFlagRequired("settings") // the flag exists
	}
	return root
}

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
	return serve(compose(), path)
}

// serve runs the app until a signal or a failure of its own.
func serve(p Program, path string) error {
	app := p.App
	if err := app.Err(); err != nil {
		return err
	}
	start, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		return err
	}
	w := newWatcher(p, path)
	go w.run()
	signal := <-app.Wait()
	w.stop()
	stop, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stop); err != nil {
		return err
	}
	if signal.ExitCode != 0 {
		return errors.New("the process stopped because a part of it failed; see its log")
	}
	return nil
}
