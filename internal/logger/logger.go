// Package logger writes JSON log lines, with a log level per subsystem and a rate
// limit per class of line.
package logger

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Logger creates the loggers of the subsystems of one entry host.
type Logger struct {
	baseLogger      zerolog.Logger
	defaultLevel    zerolog.Level
	subsystemLevels map[string]zerolog.Level
}

// Option sets one optional property of a logger.
type Option func(*Logger)

// WithLevel sets the log level of a subsystem. The empty name sets the default
// level of all others.
func WithLevel(subsystem string, level zerolog.Level) Option {
	return func(l *Logger) {
		if subsystem == "" {
			l.defaultLevel = level
			return
		}
		l.subsystemLevels[subsystem] = level
	}
}

// WithHost adds the name of the host to each line.
func WithHost(host string) Option {
	return func(l *Logger) { l.baseLogger = l.baseLogger.With().Str("host", host).Logger() }
}

// timestampFormat has milliseconds, so that the lines of several hosts can be
// merged in order.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// addTimestamp adds the current time to a line.
func addTimestamp(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timestampFormat))
}

// New returns a logger that writes lines of level info and above by default, and
// limits the rate of each class of line.
func New(w io.Writer, options ...Option) *Logger {
	l := &Logger{
		baseLogger:      zerolog.New(w).Hook(newClassLimiter(), zerolog.HookFunc(addTimestamp)),
		defaultLevel:    zerolog.InfoLevel,
		subsystemLevels: make(map[string]zerolog.Level),
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// For returns the logger of a subsystem.
func (l *Logger) For(subsystem string) zerolog.Logger {
	level, ok := l.subsystemLevels[subsystem]
	if !ok {
		level = l.defaultLevel
	}
	return l.baseLogger.Level(level).With().Str("subsystem", subsystem).Logger()
}
