package loader

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
)

// floorTolerance allows for rounding in a sum of fractions.
const floorTolerance = 1e-9

// CheckOption sets what is known beside the documents.
type CheckOption func(*checker)

// WithPublished gives the documents in force. Collected ones replace them.
func WithPublished(documents ...configurer.Document) CheckOption {
	return func(c *checker) {
		for _, d := range documents {
			c.merged[d.Key()] = d
		}
	}
}

// WithLargestDomain gives the number of engines in the largest fabric domain.
func WithLargestDomain(engines int) CheckOption {
	return func(c *checker) { c.largestDomain = engines }
}

// checker checks collected documents against each other and against those in
// force. It reports only what a collected document causes.
type checker struct {
	problems
	documents     []Document
	merged        map[configurer.Key]configurer.Document
	largestDomain int
}

// Check checks that documents fit together: names are unique, references lead
// to documents, floors do not exceed the whole, groups fit into fabric domains.
// It returns a ProblemsError with every problem.
func Check(documents []Document, options ...CheckOption) error {
	c := &checker{documents: documents, merged: make(map[configurer.Key]configurer.Document)}
	for _, o := range options {
		o(c)
	}
	c.merge()
	for _, d := range documents {
		c.checkReferences(d)
		c.checkGroupSize(d)
		c.checkRemoval(d)
	}
	c.checkKeyHashes()
	c.checkRanks()
	return c.err()
}

// merge puts the collected documents in place of those in force.
func (c *checker) merge() {
	first := make(map[configurer.Key]Position)
	for _, d := range c.documents {
		if at, exists := first[d.key]; exists {
			c.add(d.at("name"), Duplicate, d.key.String(), "a name of its own, unlike that at "+at.String())
			continue
		}
		first[d.key] = d.position
		delete(c.merged, d.key)
		if !d.removed {
			c.merged[d.key] = d.document
		}
	}
}

func (c *checker) hasRank(name fuchsiapitch.RankName) bool {
	_, ok := c.merged[configurer.NewKey(configurer.RankKind, string(name))]
	return ok
}

func (c *checker) checkReferences(d Document) {
	if s, ok := d.document.Service(); ok && !c.hasRank(s.Rank()) {
		c.dangling(d.at("rank"), s.Rank())
	}
	if u, ok := d.document.Customer(); ok {
		for _, r := range u.AllowedRanks() {
			if !c.hasRank(r) {
				c.dangling(d.at("ranks"), r)
			}
		}
	}
}

func (c *checker) dangling(at Position, rank fuchsiapitch.RankName) {
	c.add(at, DanglingReference, fmt.Sprintf("rank %q", shorten(string(rank))), "the name of a rank that exists")
}

func (c *checker) checkGroupSize(d Document) {
	s, ok := d.document.Service()
	if !ok || c.largestDomain == 0 || s.AllowsCrossDomain() || s.GroupSize() <= c.largestDomain {
		return
	}
	c.add(d.at("group-size"), BadValue, fmt.Sprintf("group-size is %d", s.GroupSize()),
		fmt.Sprintf("at most %d, the size of the largest fabric domain, or cross-domain: true", c.largestDomain))
}

// checkRemoval reports a removed rank that documents in force still name.
func (c *checker) checkRemoval(d Document) {
	if !d.removed || d.key.Kind() != configurer.RankKind {
		return
	}
	collected := make(map[configurer.Key]bool)
	for _, o := range c.documents {
		collected[o.key] = true
	}
	for _, k := range c.sortedKeys() {
		if !collected[k] && names(c.merged[k], fuchsiapitch.RankName(d.key.Name())) {
			c.add(d.position, DanglingReference, d.key.String()+" is removed but named by "+k.String(), "a rank that nothing names")
		}
	}
}

func names(d configurer.Document, rank fuchsiapitch.RankName) bool {
	if s, ok := d.Service(); ok {
		return s.Rank() == rank
	}
	u, ok := d.Customer()
	return ok && slices.Contains(u.AllowedRanks(), rank)
}

func (c *checker) sortedKeys() []configurer.Key {
	return slices.SortedFunc(maps.Keys(c.merged), func(a, b configurer.Key) int {
		return cmp.Compare(a.String(), b.String())
	})
}

// checkKeyHashes reports keys that two customers share.
func (c *checker) checkKeyHashes() {
	owners := make(map[string]configurer.Key)
	for _, k := range c.sortedKeys() {
		u, _ := c.merged[k].Customer()
		for _, h := range u.KeyHashes() {
			owner, taken := owners[h]
			if !taken {
				owners[h] = k
				continue
			}
			for _, d := range c.documents {
				if d.key == k || d.key == owner {
					c.add(d.at("key-hashes"), Duplicate, "a key hash of "+owner.String()+" and "+k.String(), "each key once")
				}
			}
		}
	}
}

// checkRanks reports floors that add up to more than the whole, and ranks of
// the same order.
func (c *checker) checkRanks() {
	sum := 0.0
	orders := make(map[int][]configurer.Key)
	for _, k := range c.sortedKeys() {
		if r, ok := c.merged[k].Rank(); ok {
			sum += r.MinCapacityShare()
			orders[r.Order()] = append(orders[r.Order()], k)
		}
	}
	for _, d := range c.documents {
		r, ok := d.document.Rank()
		if !ok {
			continue
		}
		if sum > 1+floorTolerance && r.MinCapacityShare() > 0 {
			c.add(d.at("floor"), BadValue, fmt.Sprintf("the floors of all ranks add up to %.4g", sum), "a sum of at most 1")
		}
		if len(orders[r.Order()]) > 1 {
			c.add(d.at("order"), Duplicate, fmt.Sprintf("order %d", r.Order()), "an order that no other rank has")
		}
	}
}
