package limiter

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the exponential decay of demand.
	demandTimeConstant = 5 * time.Second
	// reportAgeScale is the age of a report that raises its priority as much as a doubled
	// demand.
	reportAgeScale = 10 * time.Second
)

// demandSample is the usage and the demand of a customer at one host.
type demandSample struct {
	// inFlight is the number of admitted requests.
	inFlight int
	// tokensPerSecond is the rate of requested tokens, including those of refused
	// requests.
	tokensPerSecond float64
}

// demandMeter measures the demand of a customer at this host. It includes refused
// requests, so that a host whose share of the limit is too small receives more.
type demandMeter struct {
	// decayedTokens is the exponentially decayed sum of requested tokens at decayedAt.
	decayedTokens float64
	decayedAt     time.Duration
	// lastReport is the sample that was last reported to the other hosts.
	lastReport   demandSample
	lastReportAt time.Duration
}

func (d *demandMeter) decay(now time.Duration) {
	if now <= d.decayedAt {
		return
	}
	d.decayedTokens *= math.Exp(-float64(now-d.decayedAt) / float64(demandTimeConstant))
	d.decayedAt = now
}

func (d *demandMeter) recordTokens(now time.Duration, tokens float64) {
	d.decay(now)
	d.decayedTokens += tokens
}

func (d *demandMeter) sample(now time.Duration, inFlight int) demandSample {
	d.decay(now)
	return demandSample{inFlight: inFlight, tokensPerSecond: d.decayedTokens / demandTimeConstant.Seconds()}
}

// reportPriority returns how urgently the demand should be reported: the sum of its
// relative change and the age of the last report.
func (d *demandMeter) reportPriority(now time.Duration, inFlight int) float64 {
	s := d.sample(now, inFlight)
	change := relativeChange(float64(s.inFlight), float64(d.lastReport.inFlight)) + relativeChange(s.tokensPerSecond, d.lastReport.tokensPerSecond)
	return change + float64(now-d.lastReportAt)/float64(reportAgeScale)
}

func relativeChange(a, b float64) float64 { return math.Abs(a-b) / (1 + max(a, b)) }

func (d *demandMeter) markReported(now time.Duration, inFlight int) {
	d.lastReport, d.lastReportAt = d.sample(now, inFlight), now
}
