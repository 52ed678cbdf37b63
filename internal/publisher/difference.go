package publisher

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
)

// Difference is what a publication changes in one document.
type Difference struct {
	// Key names the document.
	Key configurer.Key
	// Lines are the changed fields, the old with "-" and the new with "+".
	Lines []string
}

// String returns the difference as lines of text.
func (d Difference) String() string {
	return d.Key.String() + "\n  " + strings.Join(d.Lines, "\n  ")
}

func compare(current configurer.Entry, change configurer.Change) Difference {
	var before, after []string
	if !current.Removed {
		before = describe(current.Document)
	}
	if !change.Removed {
		after = describe(change.Document)
	}
	d := Difference{Key: change.Key}
	for _, l := range before {
		if !slices.Contains(after, l) {
			d.Lines = append(d.Lines, "- "+l)
		}
	}
	for _, l := range after {
		if !slices.Contains(before, l) {
			d.Lines = append(d.Lines, "+ "+l)
		}
	}
	return d
}

// describe returns one line for each field of a document.
func describe(d configurer.Document) []string {
	if s, ok := d.Service(); ok {
		return describeService(s)
	}
	if c, ok := d.Customer(); ok {
		return describeCustomer(c)
	}
	if r, ok := d.Rank(); ok {
		return []string{
			field("kind", "rank"), field("order", r.Order()), field("first-token", r.FirstTokenTarget()),
			field("inter-token", r.InterTokenTarget()), field("worth", r.TokenValue()), field("floor", r.MinCapacityShare()),
		}
	}
	return nil
}

func describeService(s fuchsiapitch.Service) []string {
	kind := "model-service"
	if s.Kind() == fuchsiapitch.ApplicationService {
		kind = "application-service"
	}
	lines := []string{
		field("kind", kind), field("rank", s.Rank()), field("model", s.Model()), field("version", s.Version()),
		field("adapters", s.Adapters()), field("replicas", s.ReplicasPerDataCentre()), field("group-size", s.GroupSize()),
		field("concurrency", s.Concurrency()), field("worth", s.PlacementWeight()), field("fencing", s.EnforcesFencing()),
		field("cross-domain", s.AllowsCrossDomain()), field("timeout", s.Timeout()),
	}
	for _, r := range s.Routes() {
		lines = append(lines, field("route", strings.TrimSpace(fmt.Sprintf("%s %s idempotent=%v", r.Method(), r.PathPrefix(), r.Idempotent()))))
	}
	return lines
}

func describeCustomer(c fuchsiapitch.Customer) []string {
	lines := []string{
		field("kind", "customer"), field("weight", c.Weight()), field("ranks", c.AllowedRanks()),
		field("in-flight", c.MaxInFlight()), field("tokens-per-second", c.MaxTokensPerSecond()), field("queue-bytes", c.MaxQueuedBytes()),
	}
	for _, h := range c.KeyHashes() {
		lines = append(lines, field("key-hash", h))
	}
	return lines
}

func field[T string | int | int64 | float64 | bool | time.Duration | []string | fuchsiapitch.RankName | []fuchsiapitch.RankName](name string, value T) string {
	return fmt.Sprintf("%s: %v", name, value)
}
