package scheduler

import (
	"math"
	"time"
)

// meter is a sum in which older amounts count for exponentially less.
type meter struct {
	window time.Duration
	value  float64
	at     time.Duration
}

// add counts an amount at a time.
func (m *meter) add(now time.Duration, amount float64) {
	m.value = m.read(now) + amount
	m.at = max(m.at, now)
}

// read returns the sum at a time.
func (m *meter) read(now time.Duration) float64 {
	if now <= m.at || m.value == 0 {
		return m.value
	}
	return m.value * math.Exp(-float64(now-m.at)/float64(m.window))
}
