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
	// Lines are the changed fields: old values start with "-", new ones with "+".
	Lines []string
}

// String returns the difference as lines of text.
func (d Difference) String() string {
	return d.Key.String() + "\n  " + strings.Join(d.Lines, "\n  ")
}

func diffDocument(current configurer.Entry, change configurer.Change) Difference {
	var before, after []string
	if !current.Removed {
		before = documentFields(current.Document)
	}
	if !change.Removed {
		after = documentFields(change.Document)
	}
	difference := Difference{Key: change.Key}
	for _, l := range before {
		if !slices.Contains(after, l) {
			difference.Lines = append(difference.Lines, "- "+l)
		}
	}
	for _, l := range after {
		if !slices.Contains(before, l) {
			difference.Lines = append(difference.Lines, "+ "+l)
		}
	}
	return difference
}

// documentFields returns one line for each field of a document.
func documentFields(document configurer.Document) []string {
	if s, ok := document.Service(); ok {
		return serviceFields(s)
	}
	if c, ok := document.Customer(); ok {
		return customerFields(c)
	}
	if r, ok := document.Rank(); ok {
		return []string{
			formatField("kind", "rank"), formatField("order", r.Order()), formatField("first-token", r.FirstTokenTarget()),
			formatField("inter-token", r.InterTokenTarget()), formatField("worth", r.TokenValue()), formatField("floor", r.MinCapacityShare()),
		}
	}
	return nil
}

func serviceFields(s fuchsiapitch.Service) []string {
	kind := "model-service"
	if s.Kind() == fuchsiapitch.ApplicationService {
		kind = "application-service"
	}
	lines := []string{
		formatField("kind", kind), formatField("rank", s.Rank()), formatField("model", s.Model()), formatField("version", s.Version()),
		formatField("adapters", s.Adapters()), formatField("replicas", s.ReplicasPerDataCentre()), formatField("group-size", s.GroupSize()),
		formatField("concurrency", s.Concurrency()), formatField("worth", s.PlacementWeight()), formatField("fencing", s.EnforcesFencing()),
		formatField("cross-domain", s.AllowsCrossDomain()), formatField("timeout", s.Timeout()),
	}
	for _, r := range s.Routes() {
		lines = append(lines, formatField("route", strings.TrimSpace(fmt.Sprintf("%s %s idempotent=%v", r.Method(), r.PathPrefix(), r.Idempotent()))))
	}
	return lines
}

func customerFields(c fuchsiapitch.Customer) []string {
	lines := []string{
		formatField("kind", "customer"), formatField("weight", c.Weight()), formatField("ranks", c.AllowedRanks()),
		formatField("in-flight", c.MaxInFlight()), formatField("tokens-per-second", c.MaxTokensPerSecond()), formatField("queue-bytes", c.MaxQueuedBytes()),
	}
	for _, h := range c.KeyHashes() {
		lines = append(lines, formatField("key-hash", h))
	}
	return lines
}

func formatField[T string | int | int64 | float64 | bool | time.Duration | []string | fuchsiapitch.RankName | []fuchsiapitch.RankName](name string, value T) string {
	return fmt.Sprintf("%s: %v", name, value)
}
