package loader

import (
	"math"
	"regexp"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
)

// Descriptions of the values that documents expect, for messages.
const (
	expectedCount   = "a whole number, at least 1"
	expectedLimit   = "a whole number, at least 0, where 0 is no limit"
	expectedWeight  = "a number above 0"
	expectedKeyHash = "the SHA-256 hash of a key, 64 hexadecimal digits; keys themselves are never published"
)

// minWeight keeps weights above 0, because they are used as divisors.
const minWeight = 1e-6

var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Document is one configuration document with its position in a file.
type Document struct {
	key            configurer.Key
	document       configurer.Document
	removed        bool
	position       Position
	valuePositions map[string]Position
}

// Key returns the key of the document.
func (d Document) Key() configurer.Key { return d.key }

// Document returns the content. It is the zero document for a removal.
func (d Document) Document() configurer.Document { return d.document }

// Removed reports whether the file requests the removal of the document.
func (d Document) Removed() bool { return d.removed }

// Position returns the position of the start of the document.
func (d Document) Position() Position { return d.position }

// valuePosition returns the position of the value at a key, or of the document if
// the key is absent.
func (d Document) valuePosition(key string) Position {
	if p, ok := d.valuePositions[key]; ok {
		return p
	}
	return d.position
}

// DecodeDocuments decodes the documents in the content of one file. The path is
// used only in messages. It returns a ProblemsError with all problems of the
// content, and the documents that have none.
func DecodeDocuments(path string, content []byte) ([]Document, error) {
	p := &problems{}
	documents := decodeDocuments(path, content, p)
	return documents, p.err()
}

func decodeDocuments(path string, content []byte, p *problems) []Document {
	var documents []Document
	for _, body := range parse(path, content, p) {
		previousCount := len(p.list)
		d := decodeDocument(newSection(path, "", body, p, nil))
		if len(p.list) == previousCount {
			documents = append(documents, d)
		}
	}
	return documents
}

func decodeDocument(s *section) Document {
	const expectedKinds = "one of model-service, application-service, customer, rank"
	d := Document{position: s.position, valuePositions: make(map[string]Position)}
	s.require("kind", expectedKinds)
	kind := s.choice("kind", "", "model-service", "application-service", "customer", "rank")
	name := s.requiredName("name")
	d.key = configurer.NewKey(configurationKind(kind), name)
	d.removed = s.boolean("removed")
	switch {
	case d.removed:
	case kind == "model-service":
		d.document = configurer.NewServiceDocument(decodeModelService(s, name))
	case kind == "application-service":
		d.document = configurer.NewServiceDocument(decodeApplicationService(s, name))
	case kind == "customer":
		d.document = configurer.NewCustomerDocument(decodeCustomer(s, name))
	case kind == "rank":
		d.document = configurer.NewRankDocument(decodeRank(s, name))
	default:
		return d
	}
	s.reportUnknownKeys()
	for k := range s.values {
		d.valuePositions[k] = s.valuePosition(k)
	}
	return d
}

// configurationKind returns the configuration kind for the kind in a file. Model
// services and application services share one kind, so their names must differ.
func configurationKind(kind string) configurer.Kind {
	switch kind {
	case "customer":
		return configurer.CustomerKind
	case "rank":
		return configurer.RankKind
	}
	return configurer.ServiceKind
}

func decodeModelService(s *section, name string) fuchsiapitch.Service {
	s.require("model", "the name of a model")
	s.require("version", "the version of the model")
	var adapters []string
	for _, e := range s.textList("adapters", "the name of an adapter") {
		adapters = append(adapters, e.text)
	}
	options := []fuchsiapitch.ServiceOption{
		fuchsiapitch.WithModel(s.text("model", ""), s.textOrNumber("version", "")),
		fuchsiapitch.WithAdapters(adapters...),
		fuchsiapitch.WithReplicas(s.positiveInteger("replicas", 1), s.positiveInteger("group-size", 1)),
	}
	if s.boolean("fencing") {
		options = append(options, fuchsiapitch.WithFencing())
	}
	if s.boolean("cross-domain") {
		options = append(options, fuchsiapitch.WithCrossDomain())
	}
	return decodeService(s, name, fuchsiapitch.ModelService, options)
}

func decodeApplicationService(s *section, name string) fuchsiapitch.Service {
	options := []fuchsiapitch.ServiceOption{
		fuchsiapitch.WithReplicas(s.positiveInteger("replicas", 1), 1),
		fuchsiapitch.WithRoutes(decodeRoutes(s)...),
	}
	return decodeService(s, name, fuchsiapitch.ApplicationService, options)
}

// decodeService decodes the keys that both kinds of service have.
func decodeService(s *section, name string, kind fuchsiapitch.ServiceKind, options []fuchsiapitch.ServiceOption) fuchsiapitch.Service {
	const minTimeout = time.Millisecond
	rank := fuchsiapitch.RankName(s.requiredName("rank"))
	defaults := fuchsiapitch.NewService("", kind, "")
	options = append(options,
		fuchsiapitch.WithConcurrency(s.positiveInteger("concurrency", defaults.Concurrency())),
		fuchsiapitch.WithPlacementWeight(s.number("worth", defaults.PlacementWeight(), 0, math.MaxInt32, "a number, at least 0")),
		fuchsiapitch.WithTimeout(s.duration("timeout", defaults.Timeout(), minTimeout)),
	)
	return fuchsiapitch.NewService(fuchsiapitch.ServiceName(name), kind, rank, options...)
}

func decodeRoutes(s *section) []fuchsiapitch.Route {
	var routes []fuchsiapitch.Route
	for _, n := range s.listItems("routes", "a list of routes") {
		r := newSection(s.valueFiles["routes"], "routes", n, s.problems, nil)
		method := r.choice("method", "", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
		prefix := r.text("prefix", "")
		if r.require("prefix", "a path that starts with /") && r.isText("prefix") && (prefix == "" || prefix[0] != '/') {
			r.reportValue("prefix", BadValue, "a path that starts with /")
		}
		idempotent := r.boolean("idempotent")
		r.reportUnknownKeys()
		routes = append(routes, fuchsiapitch.NewRoute(method, prefix, idempotent))
	}
	return routes
}

func decodeCustomer(s *section, name string) fuchsiapitch.Customer {
	limits := s.subsection("limits")
	options := []fuchsiapitch.CustomerOption{
		fuchsiapitch.WithWeight(s.number("weight", 1, minWeight, math.MaxInt32, expectedWeight)),
		fuchsiapitch.WithKeyHashes(decodeKeyHashes(s)...),
		fuchsiapitch.WithAllowedRanks(decodeRankNames(s)...),
		fuchsiapitch.WithLimits(
			int(limits.integer("in-flight", 0, 0, expectedLimit)),
			limits.number("tokens-per-second", 0, 0, math.MaxInt32, "a number, at least 0, where 0 is no limit"),
			limits.integer("queue-bytes", 0, 0, expectedLimit),
		),
	}
	limits.reportUnknownKeys()
	return fuchsiapitch.NewCustomer(fuchsiapitch.CustomerName(name), options...)
}

// decodeKeyHashes reads the hashes of the customer's keys. Its messages never show
// a value, because an operator may have entered a secret key in place of its hash.
func decodeKeyHashes(s *section) []string {
	var hashes []string
	if !s.require("key-hashes", "a list with "+expectedKeyHash) {
		return nil
	}
	for _, e := range s.textList("key-hashes", expectedKeyHash) {
		if !keyHashPattern.MatchString(e.text) {
			s.problems.add(e.position, BadValue, "a value in key-hashes", expectedKeyHash)
		}
		hashes = append(hashes, e.text)
	}
	return hashes
}

func decodeRankNames(s *section) []fuchsiapitch.RankName {
	var ranks []fuchsiapitch.RankName
	for _, e := range s.textList("ranks", "the name of a rank") {
		ranks = append(ranks, fuchsiapitch.RankName(e.text))
	}
	return ranks
}

func decodeRank(s *section, name string) fuchsiapitch.Rank {
	const minTarget = time.Millisecond
	s.require("order", "a whole number, 0 for the most urgent rank")
	s.require("first-token", expectedDuration)
	s.require("inter-token", expectedDuration)
	return fuchsiapitch.NewRank(fuchsiapitch.RankName(name),
		int(s.integer("order", 0, 0, "a whole number, 0 for the most urgent rank")),
		s.duration("first-token", minTarget, minTarget),
		s.duration("inter-token", minTarget, minTarget),
		s.number("worth", 1, 0, math.MaxInt32, "a number, at least 0"),
		s.number("floor", 0, 0, 1, "a fraction from 0 to 1"))
}
