package scheduler

import (
	"math"
	"time"
)

// decayingSum is a sum whose past amounts decay exponentially with a time
// constant.
type decayingSum struct {
	timeConstant time.Duration
	value        float64
	updatedAt    time.Duration
}

// add adds an amount at time now.
func (s *decayingSum) add(now time.Duration, amount float64) {
	s.value = s.valueAt(now) + amount
	s.updatedAt = max(s.updatedAt, now)
}

// valueAt returns the sum, decayed to time now.
func (s *decayingSum) valueAt(now time.Duration) float64 {
	if now <= s.updatedAt || s.value == 0 {
		return s.value
	}
	return s.value * math.Exp(-float64(now-s.updatedAt)/float64(s.timeConstant))
}
