// Package logger writes JSON log lines, with a level for each subsystem.
package logger

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Logger makes the loggers of the subsystems of one entry host.
type Logger struct {
	root     zerolog.Logger
	standard zerolog.Level
	levels   map[string]zerolog.Level
}

// Option sets one optional property of a logger.
type Option func(*Logger)

// WithLevel sets the level of a subsystem, "" for all that have none of their
// own.
func WithLevel(subsystem string, level zerolog.Level) Option {
	return func(l *Logger) {
		if subsystem == "" {
			l.standard = level
			return
		}
		l.levels[subsystem] = level
	}
}

// WithHost adds the name of the host to each line.
func WithHost(host string) Option {
	return func(l *Logger) { l.root = l.root.With().Str("host", host).Logger() }
}

// stampFormat is the time of a line, in milliseconds, so that the lines of several
// hosts can be put in order.
const stampFormat = "2006-01-02T15:04:05.000Z07:00"

// stamp adds the time to a line.
func stamp(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(stampFormat))
}

// New returns a logger that writes lines of level info and above, within bounds for
// each class of line.
func New(w io.Writer, options ...Option) *Logger {
	l := &Logger{
		root:     zerolog.New(w).Hook(newClasses(), zerolog.HookFunc(stamp)),
		standard: zerolog.InfoLevel,
		levels:   make(map[string]zerolog.Level),
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// For returns the logger of a subsystem.
func (l *Logger) For(subsystem string) zerolog.Logger {
	level, ok := l.levels[subsystem]
	if !ok {
		level = l.standard
	}
	return l.root.Level(level).With().Str("subsystem", subsystem).Logger()
}
