package limiter

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant over which demand is measured.
	demandWindow = 5 * time.Second
	// reportAge is the age of a report that weighs as much as a doubled demand.
	reportAge = 10 * time.Second
)

// amounts are the use and the demand of a customer at one host.
type amounts struct {
	// inFlight is the number of admitted requests.
	inFlight int
	// rate is the rate of the tokens asked for, refused ones included.
	rate float64
}

// demand measures what a customer asks for at this host, refused requests
// included, so that a host with too small a part is given more.
type demand struct {
	asked      float64
	at         time.Duration
	reported   amounts
	reportedAt time.Duration
}

func (d *demand) decay(now time.Duration) {
	if now <= d.at {
		return
	}
	d.asked *= math.Exp(-float64(now-d.at) / float64(demandWindow))
	d.at = now
}

func (d *demand) ask(now time.Duration, tokens float64) {
	d.decay(now)
	d.asked += tokens
}

func (d *demand) current(now time.Duration, inFlight int) amounts {
	d.decay(now)
	return amounts{inFlight: inFlight, rate: d.asked / demandWindow.Seconds()}
}

// score returns how much a report of the demand is due.
func (d *demand) score(now time.Duration, inFlight int) float64 {
	c := d.current(now, inFlight)
	change := relative(float64(c.inFlight), float64(d.reported.inFlight)) + relative(c.rate, d.reported.rate)
	return change + float64(now-d.reportedAt)/float64(reportAge)
}

func relative(a, b float64) float64 { return math.Abs(a-b) / (1 + max(a, b)) }

func (d *demand) report(now time.Duration, inFlight int) {
	d.reported, d.reportedAt = d.current(now, inFlight), now
}
