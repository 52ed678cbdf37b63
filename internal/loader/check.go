package loader

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
)

// floorSumTolerance allows for rounding errors in the sum of the floors, which are
// the minimum capacity shares of the ranks.
const floorSumTolerance = 1e-9

// CheckOption passes information to Check that the collected documents do not
// contain.
type CheckOption func(*checker)

// WithDocumentsInForce sets the documents that are in force. A collected document
// replaces the one with the same key.
func WithDocumentsInForce(documents ...configurer.Document) CheckOption {
	return func(c *checker) {
		for _, d := range documents {
			c.mergedDocuments[d.Key()] = d
		}
	}
}

// WithLargestDomainSize sets the number of engines in the largest fabric domain.
// Without it, group sizes are not checked.
func WithLargestDomainSize(engines int) CheckOption {
	return func(c *checker) { c.largestDomainSize = engines }
}

// checker checks collected documents against each other and against those in
// force. It reports only problems that a collected document causes.
type checker struct {
	problems
	documents         []Document
	mergedDocuments   map[configurer.Key]configurer.Document
	largestDomainSize int
}

// Check checks that documents are consistent: names, key hashes and the orders of
// ranks are unique, every referenced rank exists, the floors add up to at most 1,
// and each group fits into a fabric domain. It returns a ProblemsError with all
// problems.
func Check(documents []Document, options ...CheckOption) error {
	c := &checker{documents: documents, mergedDocuments: make(map[configurer.Key]configurer.Document)}
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

// merge applies the collected documents to those in force, and reports
// documents with the same key.
func (c *checker) merge() {
	firstPositions := make(map[configurer.Key]Position)
	for _, d := range c.documents {
		if firstPosition, exists := firstPositions[d.key]; exists {
			c.add(d.valuePosition("name"), Duplicate, d.key.String(), "a name that differs from the one at "+firstPosition.String())
			continue
		}
		firstPositions[d.key] = d.position
		delete(c.mergedDocuments, d.key)
		if !d.removed {
			c.mergedDocuments[d.key] = d.document
		}
	}
}

func (c *checker) hasRank(name fuchsiapitch.RankName) bool {
	_, ok := c.mergedDocuments[configurer.NewKey(configurer.RankKind, string(name))]
	return ok
}

func (c *checker) checkReferences(d Document) {
	if s, ok := d.document.Service(); ok && !c.hasRank(s.Rank()) {
		c.addDanglingRank(d.valuePosition("rank"), s.Rank())
	}
	if customer, ok := d.document.Customer(); ok {
		for _, r := range customer.AllowedRanks() {
			if !c.hasRank(r) {
				c.addDanglingRank(d.valuePosition("ranks"), r)
			}
		}
	}
}

func (c *checker) addDanglingRank(rankPosition Position, rank fuchsiapitch.RankName) {
	c.add(rankPosition, DanglingReference, fmt.Sprintf("rank %q", truncate(string(rank))), "the name of a rank that exists")
}

func (c *checker) checkGroupSize(d Document) {
	s, ok := d.document.Service()
	if !ok || c.largestDomainSize == 0 || s.AllowsCrossDomain() || s.GroupSize() <= c.largestDomainSize {
		return
	}
	c.add(d.valuePosition("group-size"), BadValue, fmt.Sprintf("group-size is %d", s.GroupSize()),
		fmt.Sprintf("at most %d, the size of the largest fabric domain, or cross-domain: true", c.largestDomainSize))
}

// checkRemoval reports a removed rank that is still referenced by documents in
// force. References in collected documents are checked by checkReferences.
func (c *checker) checkRemoval(d Document) {
	if !d.removed || d.key.Kind() != configurer.RankKind {
		return
	}
	collected := make(map[configurer.Key]bool)
	for _, o := range c.documents {
		collected[o.key] = true
	}
	for _, k := range c.sortedKeys() {
		if !collected[k] && referencesRank(c.mergedDocuments[k], fuchsiapitch.RankName(d.key.Name())) {
			c.add(d.position, DanglingReference, d.key.String()+" is removed but named by "+k.String(), "a rank that no document names")
		}
	}
}

func referencesRank(d configurer.Document, rank fuchsiapitch.RankName) bool {
	if s, ok := d.Service(); ok {
		return s.Rank() == rank
	}
	customer, ok := d.Customer()
	return ok && slices.Contains(customer.AllowedRanks(), rank)
}

func (c *checker) sortedKeys() []configurer.Key {
	return slices.SortedFunc(maps.Keys(c.mergedDocuments), func(a, b configurer.Key) int {
		return cmp.Compare(a.String(), b.String())
	})
}

// checkKeyHashes reports key hashes that occur more than once, within a customer
// or across customers.
func (c *checker) checkKeyHashes() {
	owners := make(map[string]configurer.Key)
	for _, k := range c.sortedKeys() {
		customer, _ := c.mergedDocuments[k].Customer()
		for _, h := range customer.KeyHashes() {
			owner, taken := owners[h]
			if !taken {
				owners[h] = k
				continue
			}
			for _, d := range c.documents {
				if d.key == k || d.key == owner {
					c.add(d.valuePosition("key-hashes"), Duplicate, "a key hash of "+owner.String()+" and "+k.String(), "each key once")
				}
			}
		}
	}
}

// checkRanks reports floors that add up to more than 1, and ranks with the same
// order.
func (c *checker) checkRanks() {
	floorSum := 0.0
	keysByOrder := make(map[int][]configurer.Key)
	for _, k := range c.sortedKeys() {
		if r, ok := c.mergedDocuments[k].Rank(); ok {
			floorSum += r.MinCapacityShare()
			keysByOrder[r.Order()] = append(keysByOrder[r.Order()], k)
		}
	}
	for _, d := range c.documents {
		r, ok := d.document.Rank()
		if !ok {
			continue
		}
		if floorSum > 1+floorSumTolerance && r.MinCapacityShare() > 0 {
			c.add(d.valuePosition("floor"), BadValue, fmt.Sprintf("the floors of all ranks add up to %.4g", floorSum), "a sum of at most 1")
		}
		if len(keysByOrder[r.Order()]) > 1 {
			c.add(d.valuePosition("order"), Duplicate, fmt.Sprintf("order %d", r.Order()), "an order that no other rank has")
		}
	}
}
