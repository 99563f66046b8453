package starter

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx"

	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/logger"
)

const (
	// phaseVariable makes the test binary run a program that is slow in the phase it names.
	phaseVariable = "STARTER_TEST_SLOW_PHASE"
	slowDuration  = 200 * time.Millisecond
)

// TestMain runs the program of TestSignals if the test starts this binary for it.
func TestMain(m *testing.M) {
	phase := os.Getenv(phaseVariable)
	if phase == "" {
		os.Exit(m.Run())
	}
	os.Args = []string{"program", "--settings", os.Args[len(os.Args)-1]}
	os.Exit(Main(Config{Use: "program", Read: func(*loader.Settings) (func() Program, error) {
		return func() Program { return newSlowProgram(phase) }, nil
	}}))
}

// newSlowProgram returns a program that prints the name of each phase and is slow in one.
func newSlowProgram(slow string) Program {
	enter := func(phase string) {
		_, _ = io.WriteString(os.Stdout, phase+"\n")
		if phase == slow {
			time.Sleep(slowDuration)
		}
	}
	enter("compose")
	return Program{
		App: fx.New(fx.NopLogger, fx.Invoke(func(l fx.Lifecycle) {
			l.Append(fx.Hook{
				OnStart: func(context.Context) error { enter("start"); return nil },
				OnStop:  func(context.Context) error { enter("stop"); return nil },
			})
		})),
		Reload: func(Source) error { return nil },
		Logger: func() logger.Logger { return logger.Logger{} },
	}
}

// TestSignals guards against requests that are cut off because a signal ends the process at once
// while it starts or shuts down.
func TestSignals(t *testing.T) {
	cases := []struct {
		name, phase string
		signal      syscall.Signal
	}{
		{"reload while composing", "compose", syscall.SIGHUP},
		{"reload during the start", "start", syscall.SIGHUP},
		{"reload during the shutdown", "stop", syscall.SIGHUP},
		{"stop while composing", "compose", syscall.SIGTERM},
		{"stop during the start", "start", syscall.SIGTERM},
		{"second stop during the shutdown", "stop", syscall.SIGTERM},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "settings.ini")
			is.NoErr(os.WriteFile(path, nil, 0o600))
			p := exec.Command(os.Args[0], path)
			p.Env = append(os.Environ(), phaseVariable+"="+c.phase)
			out, err := p.StdoutPipe()
			is.NoErr(err)
			is.NoErr(p.Start())
			var phases []string
			for s := bufio.NewScanner(out); s.Scan(); {
				phases = append(phases, s.Text())
				if s.Text() == c.phase {
					is.NoErr(p.Process.Signal(c.signal))
				}
				if s.Text() == "start" {
					time.AfterFunc(2*slowDuration, func() { _ = p.Process.Signal(syscall.SIGTERM) })
				}
			}
			is.NoErr(p.Wait()) // a signal that ends the process is an error
			is.Equal(phases, []string{"compose", "start", "stop"})
		})
	}
}
