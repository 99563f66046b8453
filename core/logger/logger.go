// Package logger writes numbered, structured log events.
package logger

import (
	"io"
	"time"

	"github.com/phuslu/log"
)

// Field is one named value of a log line.
type Field struct {
	Name  string
	Value any
}

// Config tells where and how a Logger writes.
type Config struct {
	// Writer takes the lines as they come; it is not used where there is a Queue.
	Writer  io.Writer
	Queue   *Queue
	Process string
	Level   string
}

// Logger writes events as JSON lines. The zero Logger discards them.
type Logger struct {
	// urgent takes warnings and errors, ordinary all else.
	urgent   *log.Logger
	ordinary *log.Logger
}

// NewLogger returns a Logger that writes to the configured writer or queue.
func NewLogger(c Config) Logger {
	if c.Queue == nil {
		out := newOutput(c)
		return Logger{urgent: out, ordinary: out}
	}
	first, second := c, c
	first.Writer, second.Writer = class{c.Queue, true}, class{c.Queue, false}
	return Logger{urgent: newOutput(first), ordinary: newOutput(second)}
}

func newOutput(c Config) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(c.Level),
		TimeFormat: time.RFC3339Nano,
		Writer:     log.IOWriter{Writer: c.Writer},
		Context:    log.NewContext(nil).Str("process", c.Process).Value(),
	}
}

// F names a value of a log line.
func F(name string, value any) Field {
	return Field{Name: name, Value: value}
}

// Log writes one event with its fields.
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
