package limiter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

// View is what this host knows of the entry hosts of its data centre. Both
// lists include this host.
type View struct {
	// Live are the hosts that answer.
	Live []fuchsiapitch.HostID
	// Known are the hosts that have not announced their stop.
	Known []fuchsiapitch.HostID
	// Demand returns the last reported demand of a customer at another host.
	Demand func(fuchsiapitch.HostID, fuchsiapitch.CustomerName) gossiper.CustomerDemand
}

// cutOff reports whether this host cannot tell a failure of the others from a
// partition of its own: it sees no majority of the hosts that it knows.
func (v View) cutOff() bool { return len(v.Known) > 1 && 2*len(v.Live) <= len(v.Known) }

// part is the part of a customer's limits that this host allows.
type part struct {
	inFlight int
	bytes    int64
	rate     float64
}

// claim is the demand of one host in a division.
type claim struct {
	host   fuchsiapitch.HostID
	weight float64
	used   int
	units  int
	rest   float64
}

// baseFraction is the fraction of a limit that is divided equally, so that a
// customer's first request at a host meets a part of the limit.
const baseFraction = 0.1

// divide works out this host's part of a customer's limits. In a partition the
// hosts without a majority take an equal part each, so that the limit is
// exceeded by less than a half.
func (l *Limiter) divide(u *usage) {
	if u.divided {
		return
	}
	u.divided = true
	c := u.customer
	claims := l.claims(u)
	share := shareOf(claims, l.self)
	u.part = part{
		inFlight: unitsOf(allow(claims, c.Name(), c.InFlight()), l.self),
		bytes:    int64(float64(c.QueueBytes()) * share),
		rate:     c.TokensPerSecond() * share,
	}
}

// claims returns the weights of the hosts that share the limits.
func (l *Limiter) claims(u *usage) []claim {
	if l.view.cutOff() {
		return equalClaims(l.view.Known)
	}
	claims := make([]claim, 0, len(l.view.Live))
	total := 0.0
	for _, h := range l.view.Live {
		d := l.demandOf(u, h)
		claims = append(claims, claim{host: h, weight: d.rate, used: d.inFlight})
		total += d.rate
	}
	base := max(total, 1) * baseFraction / float64(len(claims))
	for i := range claims {
		claims[i].weight += base
	}
	return claims
}

func equalClaims(hosts []fuchsiapitch.HostID) []claim {
	claims := make([]claim, 0, len(hosts))
	for _, h := range hosts {
		claims = append(claims, claim{host: h, weight: 1})
	}
	return claims
}

func (l *Limiter) demandOf(u *usage, host fuchsiapitch.HostID) amounts {
	if host == l.self {
		return u.demand.reported
	}
	if l.view.Demand == nil {
		return amounts{}
	}
	d := l.view.Demand(host, u.customer.Name())
	return amounts{inFlight: d.InFlight, rate: d.TokensPerSecond}
}

// allow returns how many requests each host may have in flight.
//
// The limit is apportioned by weight. A host that uses more than its units,
// because the demand has moved to another host, keeps what runs. What is left
// of the limit is then apportioned among the other hosts by the units that they
// do not use yet, so that the limit holds while the demand moves.
func allow(claims []claim, customer fuchsiapitch.CustomerName, limit int) []claim {
	claims = apportion(claims, customer, limit)
	left := limit
	unused := make([]claim, 0, len(claims))
	for _, c := range claims {
		left -= c.used
		unused = append(unused, claim{host: c.host, weight: float64(max(0, c.units-c.used))})
	}
	unused = apportion(unused, customer, max(0, left))
	for i, c := range claims {
		if c.units > c.used {
			claims[i].units = c.used + unitsOf(unused, c.host)
		}
	}
	return claims
}

// apportion divides whole units by weight, among claims in any order, with the method of the largest
// remainder. Equal remainders are ordered by a hash of customer and host, so
// that the same host is not left out for every customer.
func apportion(claims []claim, customer fuchsiapitch.CustomerName, units int) []claim {
	total := 0.0
	for _, c := range claims {
		total += c.weight
	}
	if total == 0 {
		return claims
	}
	given := 0
	for i := range claims {
		exact := float64(units) * claims[i].weight / total
		claims[i].units = int(exact)
		claims[i].rest = exact - float64(claims[i].units)
		given += claims[i].units
	}
	ordered := slices.Clone(claims)
	slices.SortFunc(ordered, func(a, b claim) int {
		return cmp.Or(cmp.Compare(b.rest, a.rest), cmp.Compare(tie(customer, b.host), tie(customer, a.host)))
	})
	for i := range min(max(0, units-given), len(ordered)) {
		ordered[i].units++
	}
	return ordered
}

func tie(customer fuchsiapitch.CustomerName, host fuchsiapitch.HostID) uint64 {
	return xxhash.Sum64String(string(customer) + "/" + string(host))
}

func unitsOf(claims []claim, host fuchsiapitch.HostID) int {
	for _, c := range claims {
		if c.host == host {
			return c.units
		}
	}
	return 0
}

func shareOf(claims []claim, host fuchsiapitch.HostID) float64 {
	total, own := 0.0, 0.0
	for _, c := range claims {
		total += c.weight
		if c.host == host {
			own = c.weight
		}
	}
	if total == 0 {
		return 0
	}
	return own / total
}
