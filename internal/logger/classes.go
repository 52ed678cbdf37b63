package logger

import (
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// classLinesPerSecond and classBurstLines limit the lines of one class. A host of
	// the target size writes about 100 lines of its most frequent class in the worst
	// second of a flood.
	classLinesPerSecond, classBurstLines = 200, 400
	// maxClasses bounds the number of classes that are limited separately; all others
	// share one limit. Messages are constant up to their first colon, so few classes
	// are expected.
	maxClasses = 200
)

// suppressedField is the log key for the number of lines of the same class that
// were suppressed since the last written one.
const suppressedField = "left-out"

// classLimiter limits the rate of log lines by class. The class of a line is its
// message up to the first colon. It implements zerolog.Hook.
type classLimiter struct {
	mutex  sync.Mutex
	states map[string]*classState
}

// classState is the rate limit of one class and the number of lines suppressed since
// its last written line.
type classState struct {
	limiter    *rate.Limiter
	suppressed int64
}

func newClassLimiter() *classLimiter { return &classLimiter{states: make(map[string]*classState)} }

// Run implements zerolog.Hook.
func (c *classLimiter) Run(e *zerolog.Event, _ zerolog.Level, message string) {
	if !e.Enabled() {
		return
	}
	suppressed, ok := c.allow(message, time.Now())
	switch {
	case !ok:
		e.Discard()
	case suppressed > 0:
		e.Int64(suppressedField, suppressed)
	}
}

// allow reports whether a line may be written, and how many lines of its class were
// suppressed before it.
func (c *classLimiter) allow(message string, now time.Time) (suppressed int64, ok bool) {
	name, _, _ := strings.Cut(message, ":")
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state, exists := c.states[name]
	if !exists {
		if len(c.states) >= maxClasses {
			name = ""
		}
		if state, exists = c.states[name]; !exists {
			state = &classState{limiter: rate.NewLimiter(classLinesPerSecond, classBurstLines)}
			c.states[name] = state
		}
	}
	if !state.limiter.AllowN(now, 1) {
		state.suppressed++
		return 0, false
	}
	suppressed, state.suppressed = state.suppressed, 0
	return suppressed, true
}
