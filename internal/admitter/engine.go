// Package admitter decides which requests the replicas of a pool can begin in time, in a
// cluster in which many hosts send to the same replicas and know each other's counts some
// hundred milliseconds late. It is pure: it reads no clock, starts no goroutine and draws no
// random numbers.
//
// All hosts work out the same shares from the same sums: which part of the requests of each
// rank is admitted, and which part of those that come back after a refusal. Each host
// applies the shares by chance to the requests that reach it. Nothing is kept for a host, so
// that hosts may come, go and be cut off.
package admitter

import (
	"math"
	"time"
)

const (
	// minTimeFactor bounds the time factor of an engine from below.
	minTimeFactor = 0.1
	// passesToFirstEvent is the number of passes from the moment at which an engine takes
	// up a request to its first event: on average half of the pass that is under way, and
	// its own.
	passesToFirstEvent = 1.5
	// objectiveMargin is the part of a latency objective that is planned for.
	objectiveMargin = 0.9
	// newsAge is the usual age of the sums over all hosts.
	newsAge = 300 * time.Millisecond
	// spreadDeviations is the number of standard deviations by which the requests at a
	// replica may exceed their mean without making one late.
	spreadDeviations = 2
	// minOccupancy and maxOccupancy bound the planned ratio of requests in flight to slots.
	minOccupancy, maxOccupancy = 0.6, 1.08
	// minReadShare and maxReadShare bound the part of its time for which a replica reads
	// prompts, lateChance the part of the first events that may be late by the wait for other
	// prompts.
	minReadShare, maxReadShare = 0.5, 0.95
	lateChance                 = 0.15
	// minQueue is the number of requests beyond its slots that an engine may hold in any
	// case, so that it can fill a freed slot at once.
	minQueue = 2
)

// Engine is the speed of one replica of a pool. The zero value describes a replica of
// unknown speed.
type Engine struct {
	// Slots is the number of requests that the replica runs at once.
	Slots int
	// StepTime is the duration of a step without requests, StepTimePerRequest what each
	// request adds to it. StepsPerEvent is the number of steps in a pass; a pass yields one
	// event per stream.
	StepTime, StepTimePerRequest time.Duration
	StepsPerEvent                int
	// ReadTokensPerSecond is the rate at which the replica reads prompts.
	ReadTokensPerSecond float64
	// TimeFactor multiplies all times of the replica.
	TimeFactor float64
}

// Pass returns the duration of a pass with the given number of running requests.
func (e Engine) Pass(running int) time.Duration {
	step := e.StepTime + time.Duration(running)*e.StepTimePerRequest
	return time.Duration(float64(e.StepsPerEvent) * float64(step) * max(e.TimeFactor, minTimeFactor))
}

// TimeToRead returns the time to read a number of prompt tokens.
func (e Engine) TimeToRead(tokens int) time.Duration {
	if e.ReadTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.ReadTokensPerSecond * max(e.TimeFactor, minTimeFactor) * float64(time.Second))
}

// TokensIn returns the number of prompt tokens that the replica reads in a time, 0 for a
// negative one.
func (e Engine) TokensIn(d time.Duration) int {
	return int(max(0, d).Seconds() / max(e.TimeFactor, minTimeFactor) * e.ReadTokensPerSecond)
}

// TimeToFirstEvent returns the expected time to the first event of one more request at a
// replica with the given number of requests in flight and of unread prompt tokens, which
// include those of the new request. serviceTime is the mean time for which a request
// occupies a slot, readShare the part of its time for which the replica reads prompts: steps
// wait meanwhile.
func (e Engine) TimeToFirstEvent(inFlight, unreadTokens int, serviceTime time.Duration, readShare float64) time.Duration {
	running := min(inFlight+1, e.Slots)
	first := e.stretchedPass(running, readShare) + e.TimeToRead(unreadTokens)
	if waiting := inFlight + 1 - e.Slots; waiting > 0 && e.Slots > 0 {
		first += time.Duration(waiting) * serviceTime / time.Duration(e.Slots)
	}
	return first
}

// stretchedPass returns the time from the end of the reading to the first event.
func (e Engine) stretchedPass(running int, readShare float64) time.Duration {
	return time.Duration(passesToFirstEvent * float64(e.Pass(running)) / (1 - min(readShare, maxReadShare)))
}

// ReadShare returns the part of its time for which a replica reads prompts if it gets the
// given number of requests per second with prompts of a mean length.
func (e Engine) ReadShare(perSecond, promptTokens float64) float64 {
	return min(perSecond*e.TimeToRead(int(promptTokens)).Seconds(), maxReadShare)
}

// WaitToRead returns the mean time for which a prompt waits until those before it are read.
// Hosts do not know each other's latest prompts, so that prompts arrive at random.
func (e Engine) WaitToRead(promptTokens float64, readShare float64) time.Duration {
	share := min(readShare, maxReadShare)
	return time.Duration(share / (1 - share) * float64(e.TimeToRead(int(promptTokens))))
}

// ReadShareLimit returns the largest part of its time for which a replica may read prompts
// if no more than lateChance of the first events are to come later than the given time.
func (e Engine) ReadShareLimit(within time.Duration, running int, promptTokens float64) float64 {
	reading := float64(e.TimeToRead(int(promptTokens)))
	if reading <= 0 {
		return maxReadShare
	}
	low, high := minReadShare, maxReadShare
	const steps = 12
	for range steps {
		share := (low + high) / 2
		wait := reading / (1 - share) * max(0, math.Log(share/lateChance))
		if float64(e.stretchedPass(running, share))+reading+wait <= float64(within) {
			low = share
		} else {
			high = share
		}
	}
	return low
}

// InFlightLimit returns the number of requests in flight up to which one more request with
// a prompt of the given length gets its first event within the given time.
func (e Engine) InFlightLimit(objective time.Duration, promptTokens int, serviceTime time.Duration, readShare float64) int {
	atFullSlots := e.TimeToFirstEvent(max(0, e.Slots-1), promptTokens, serviceTime, readShare)
	usable := objective - atFullSlots
	perSlot := serviceTime / time.Duration(max(e.Slots, 1))
	return e.Slots + max(minQueue, int(usable/max(perSlot, time.Millisecond)))
}

// PlannedInFlight returns the mean number of requests in flight at a replica at which an
// overload is held. It lies so far below the limit that requests which several hosts send
// to the same replica within the age of their news are still in time.
func (e Engine) PlannedInFlight(objective time.Duration, promptTokens int, serviceTime time.Duration, readShare float64) float64 {
	slots := float64(e.Slots)
	if e.StepsPerEvent <= 0 || objective <= 0 {
		return slots * maxOccupancy
	}
	arrivals := slots / max(serviceTime, time.Millisecond).Seconds() * newsAge.Seconds()
	limit := float64(e.InFlightLimit(objective, promptTokens, serviceTime, readShare))
	return min(max(limit-spreadDeviations*math.Sqrt(arrivals), minOccupancy*slots), maxOccupancy*slots)
}
