package logger

import (
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// classRate and classBurst bound the lines of one class, in lines a second and
	// lines at once: a host of the target size writes about 100 lines of its most
	// frequent class in the worst second of a flood.
	classRate, classBurst = 200, 400
	// mostClasses bounds the classes that are counted apart; messages are constant
	// but for what follows a colon.
	mostClasses = 200
)

// fieldLeftOut holds the number of lines of the class that were left out before.
const fieldLeftOut = "left-out"

// classes bounds the volume of a log by class of line, which is the message up to
// its first colon. It implements zerolog.Hook.
type classes struct {
	mutex sync.Mutex
	known map[string]*class
}

// class is what is written of one class.
type class struct {
	limit   *rate.Limiter
	leftOut int64
}

func newClasses() *classes { return &classes{known: make(map[string]*class)} }

// Run implements zerolog.Hook.
func (c *classes) Run(e *zerolog.Event, _ zerolog.Level, message string) {
	if !e.Enabled() {
		return
	}
	leftOut, ok := c.take(message, time.Now())
	switch {
	case !ok:
		e.Discard()
	case leftOut > 0:
		e.Int64(fieldLeftOut, leftOut)
	}
}

// take reports whether a line may be written, and how many of its class were left
// out before it.
func (c *classes) take(message string, now time.Time) (leftOut int64, ok bool) {
	name, _, _ := strings.Cut(message, ":")
	c.mutex.Lock()
	defer c.mutex.Unlock()
	k, known := c.known[name]
	if !known {
		if len(c.known) >= mostClasses {
			name = ""
		}
		if k, known = c.known[name]; !known {
			k = &class{limit: rate.NewLimiter(classRate, classBurst)}
			c.known[name] = k
		}
	}
	if !k.limit.AllowN(now, 1) {
		k.leftOut++
		return 0, false
	}
	leftOut, k.leftOut = k.leftOut, 0
	return leftOut, true
}
