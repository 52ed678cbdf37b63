// Package apportioner divides the room of an overloaded service among its customers, at
// many hosts at once. It is pure: it reads no clock and starts no goroutine.
//
// A customer is entitled to the part of the room that its usual requests make of all usual
// requests. What a customer does not use goes to the others. So a customer that sends many
// times its usual is cut to its own part, at whichever hosts its requests arrive, and large
// and small customers that send their usual are served alike. All hosts work this out from
// the same sums.
package apportioner

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
)

const (
	// maxReported bounds the customers in one message. The others share what is left.
	maxReported = 32
	// bucket is the length of a bucket in which arrivals are counted. The current and the
	// previous one count.
	bucket = 200 * time.Millisecond
	// window is the mean time for which the counts stand.
	window = bucket + bucket/2
	// currentTime and usualTime are the time constants of the current and the usual rate.
	currentTime, usualTime = time.Second, 15 * time.Second
	// learningTime is the time from the first request on for which the usual rates follow
	// the current ones without a bound.
	learningTime = 3 * time.Second
	// maxGrowth bounds the current rate that counts for the usual one, as a multiple of it.
	maxGrowth = 1.5
	// chanceDeviations is by how many standard deviations a customer may exceed its usual
	// rate by chance.
	chanceDeviations = 2
	// floorPart is the part of the mean share that each customer gets.
	floorPart = 0.35
	// forgetRate is the usual rate below which a customer is forgotten, in requests per
	// second.
	forgetRate = 0.01
)

// Key identifies a customer of a service in messages.
type Key uint32

// KeyOf returns the key of a customer of a service, 0 for no customer.
func KeyOf(service fuchsiapitch.ServiceName, customer fuchsiapitch.CustomerName) Key {
	if customer == "" {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(service))
	h.Write([]byte{0})
	h.Write([]byte(customer))
	return Key(max(h.Sum32(), 1))
}

// Arrivals counts the recent requests of a customer. It is a plain record.
type Arrivals struct {
	Customer Key
	Count    int
}

// Merge sums the counts of each customer, and keeps the customers with the most requests.
func Merge(counts []Arrivals) []Arrivals {
	sums := make(map[Key]int, len(counts))
	for _, a := range counts {
		sums[a.Customer] += a.Count
	}
	merged := make([]Arrivals, 0, len(sums))
	for k, n := range sums {
		if n > 0 {
			merged = append(merged, Arrivals{Customer: k, Count: n})
		}
	}
	slices.SortFunc(merged, func(a, b Arrivals) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Customer, b.Customer))
	})
	return merged[:min(len(merged), maxReported)]
}

// Apportioner knows the customers of all services at one host.
type Apportioner struct {
	bucketNumber      int64
	current, previous map[Key]int
	customers         map[Key]*customer
	startedAt         time.Duration
	updatedAt         time.Duration
	hasStarted        bool
}

// customer is the requests of one customer at all hosts, in requests per second: those of the
// last news, the current rate and the usual one.
type customer struct{ latest, rate, usual float64 }

// New returns an Apportioner that knows no customers.
func New() *Apportioner {
	return &Apportioner{current: make(map[Key]int), previous: make(map[Key]int), customers: make(map[Key]*customer)}
}

func (a *Apportioner) advance(now time.Duration) {
	n := int64(now / bucket)
	switch n {
	case a.bucketNumber:
		return
	case a.bucketNumber + 1:
		a.previous, a.current = a.current, a.previous
	default:
		clear(a.previous)
	}
	clear(a.current)
	a.bucketNumber = n
}

// Count counts a request of a customer at this host.
func (a *Apportioner) Count(now time.Duration, k Key) {
	if k == 0 {
		return
	}
	a.advance(now)
	a.current[k]++
}

// Report returns the recent requests at this host, of the customers with the most.
func (a *Apportioner) Report(now time.Duration) []Arrivals {
	a.advance(now)
	counts := make([]Arrivals, 0, len(a.current)+len(a.previous))
	for _, m := range []map[Key]int{a.current, a.previous} {
		for k, n := range m {
			counts = append(counts, Arrivals{Customer: k, Count: n})
		}
	}
	return Merge(counts)
}

// Update learns the rates from the recent requests at all hosts.
func (a *Apportioner) Update(now time.Duration, counts []Arrivals) {
	elapsed := now - a.updatedAt
	if !a.hasStarted {
		if len(counts) == 0 {
			return
		}
		a.hasStarted, a.startedAt, elapsed = true, now, bucket
	}
	a.updatedAt = now
	if elapsed <= 0 {
		return
	}
	rates := make(map[Key]float64, len(counts))
	for _, c := range counts {
		rates[c.Customer] += float64(c.Count) / window.Seconds()
		if a.customers[c.Customer] == nil {
			a.customers[c.Customer] = &customer{}
		}
	}
	isLearning := now-a.startedAt < learningTime
	// The first samples count equally, so that the usual rate is known soon.
	usualWeight := 1 - math.Exp(-float64(elapsed)/float64(min(usualTime, max(now-a.startedAt, bucket))))
	rateWeight := 1 - math.Exp(-float64(elapsed)/float64(min(currentTime, max(now-a.startedAt, bucket))))
	for k, c := range a.customers {
		c.latest = rates[k]
		c.rate += rateWeight * (rates[k] - c.rate)
		sample := c.rate
		if !isLearning {
			sample = min(sample, maxGrowth*max(c.usual, chance(c.usual)))
		}
		c.usual += usualWeight * (sample - c.usual)
		if c.usual < forgetRate && c.rate < forgetRate {
			delete(a.customers, k)
		}
	}
}

// chance returns the rate up to which a customer with a usual rate is within it.
func chance(usual float64) float64 {
	return usual + chanceDeviations*math.Sqrt(max(usual, 1)/currentTime.Seconds())
}

// Parts are the parts that the customers get of a share. A customer that is missing gets its
// equal part. They are a plain record.
type Parts map[Key]float64

// Of returns the part of a customer as a multiple of the share of all.
func (p Parts) Of(k Key) float64 {
	if part, ok := p[k]; ok {
		return part
	}
	return 1
}

// Divide divides an admitted share, from 0 to 1, among the customers. A customer within its
// entitlement gets all of its requests admitted as far as the room reaches; no customer gets
// less than a floor.
func (a *Apportioner) Divide(share float64) Parts {
	if share <= 0 || share >= 1 || len(a.customers) < 2 {
		return nil
	}
	keys := slices.Sorted(maps.Keys(a.customers))
	total := 0.0
	for _, k := range keys {
		total += a.customers[k].rate
	}
	room := share * total
	low, high := 0.0, 1.0
	admitted := func(level float64) float64 {
		sum := 0.0
		for _, k := range keys {
			sum += a.customers[k].admittedAt(level, share)
		}
		return sum
	}
	for admitted(high) < room && high < 1<<20 {
		high *= 2
	}
	const steps = 30
	for range steps {
		if middle := (low + high) / 2; admitted(middle) < room {
			low = middle
		} else {
			high = middle
		}
	}
	parts := make(Parts, len(keys))
	for _, k := range keys {
		if c := a.customers[k]; c.rate > 0 {
			parts[k] = c.admittedAt(high, share) / c.rate / share
		}
	}
	a.fit(parts, share)
	return parts
}

// fit scales the parts so that they add up to the share of the latest requests, which the
// current rates follow late.
func (a *Apportioner) fit(parts Parts, share float64) {
	admitted, total := 0.0, 0.0
	for k, part := range parts {
		admitted += min(1, part*share) * a.customers[k].latest
		total += a.customers[k].latest
	}
	if admitted <= 0 || total <= 0 {
		return
	}
	for k := range parts {
		parts[k] *= min(1, share*total/admitted)
	}
}

// admittedAt returns the requests per second that a customer gets if each gets level times
// its usual rate, and at least its floor of a share.
func (c *customer) admittedAt(level, share float64) float64 {
	return min(c.rate, max(level*c.entitlement(), floorPart*share*c.rate))
}

// entitlement returns the usual rate with an allowance for chance, which shrinks as the current
// rate leaves what chance explains: else a flood would take the room of others with it.
func (c *customer) entitlement() float64 {
	limit := chance(c.usual)
	return c.usual + (limit-c.usual)*min(1, limit/max(c.rate, forgetRate))
}

// Excess returns the customers that send more than their usual, the largest multiples first,
// at most limit of them.
func (a *Apportioner) Excess(limit int) []Excess {
	var excesses []Excess
	for k, c := range a.customers {
		if c.rate > maxGrowth*chance(c.usual) {
			excesses = append(excesses, Excess{Customer: k, Rate: c.rate, Usual: c.usual})
		}
	}
	slices.SortFunc(excesses, func(x, y Excess) int {
		return cmp.Or(cmp.Compare(y.Rate/max(y.Usual, forgetRate), x.Rate/max(x.Usual, forgetRate)), cmp.Compare(x.Customer, y.Customer))
	})
	return excesses[:min(len(excesses), limit)]
}

// Excess is a customer that sends more than its usual, in requests per second. It is a plain
// record.
type Excess struct {
	Customer    Key
	Rate, Usual float64
}
