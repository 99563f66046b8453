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
	Writer  io.Writer
	Process string
	Level   string
}

// Logger writes events as JSON lines. The zero Logger discards them.
type Logger struct {
	out *log.Logger
}

// NewLogger returns a Logger that writes to the configured writer.
func NewLogger(c Config) Logger {
	l := log.Logger{
		Level:      log.ParseLevel(c.Level),
		TimeFormat: time.RFC3339Nano,
		Writer:     log.IOWriter{Writer: c.Writer},
		Context:    log.NewContext(nil).Str("process", c.Process).Value(),
	}
	return Logger{out: &l}
}

// F names a value of a log line.
func F(name string, value any) Field {
	return Field{Name: name, Value: value}
}

// Log writes one event with its fields.
func (l Logger) Log(e Event, fields ...Field) {
	if l.out == nil {
		return
	}
	line := l.out.WithLevel(min(e.Level, log.ErrorLevel))
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
	default:
		return e.Any(f.Name, v)
	}
}
