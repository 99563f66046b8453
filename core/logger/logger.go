// Package logger writes numbered, structured log events.
package logger

import (
	"io"
	"time"

	"github.com/phuslu/log"
)

// Field is a named value in a log line.
type Field struct {
	Name  string
	Value any
}

// Config configures a Logger.
type Config struct {
	// Writer receives each line synchronously; it is ignored if Queue is set.
	Writer io.Writer
	// Queue receives the lines if it is set.
	Queue *Queue
	// Process is the name of the process, a field of every line.
	Process string
	// Level is the least level that is written, such as info.
	Level string
}

// Logger writes events as JSON lines. The zero Logger discards them.
type Logger struct {
	// urgent writes events of level warn and above, ordinary all others.
	urgent   *log.Logger
	ordinary *log.Logger
}

// NewLogger returns a Logger that writes to the configured writer or queue.
func NewLogger(c Config) Logger {
	if c.Queue == nil {
		out := newOutput(c)
		return Logger{urgent: out, ordinary: out}
	}
	urgent, ordinary := c, c
	urgent.Writer, ordinary.Writer = queueWriter{c.Queue, true}, queueWriter{c.Queue, false}
	return Logger{urgent: newOutput(urgent), ordinary: newOutput(ordinary)}
}

func newOutput(c Config) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(c.Level),
		TimeFormat: time.RFC3339Nano,
		Writer:     log.IOWriter{Writer: c.Writer},
		Context:    log.NewContext(nil).Str("process", c.Process).Value(),
	}
}

// F returns a Field.
func F(name string, value any) Field {
	return Field{Name: name, Value: value}
}

// Log writes an event with its fields. A fatal event is written as an error: ending the process
// is up to the caller.
func (l Logger) Log(e Event, fields ...Field) {
	out := l.ordinary
	if e.Level >= log.WarnLevel {
		out = l.urgent
	}
	if out == nil {
		return
	}
	line := out.WithLevel(min(e.Level, log.ErrorLevel))
	line = line.Int("event", e.Number)
	for _, f := range fields {
		line = appendField(line, f)
	}
	line.Msg(e.Name)
}

func appendField(e *log.Entry, f Field) *log.Entry {
	switch v := f.Value.(type) {
	case string:
		return e.Str(f.Name, v)
	case error:
		return e.Str(f.Name, v.Error())
	case time.Duration:
		return e.Str(f.Name, v.String())
	case int:
		return e.Int(f.Name, v)
	case []string:
		return e.Strs(f.Name, v)
	default:
		return e.Any(f.Name, v)
	}
}
