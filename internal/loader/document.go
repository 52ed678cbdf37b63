package loader

import (
	"math"
	"regexp"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
)

// What messages say of the expected values of documents.
const (
	expectedCount   = "a whole number, at least 1"
	expectedLimit   = "a whole number, at least 0, where 0 is no limit"
	expectedWeight  = "a number above 0"
	expectedKeyHash = "the SHA-256 hash of a key, 64 hexadecimal digits; keys themselves are never published"
)

// leastWeight keeps weights, by which others are divided, above 0.
const leastWeight = 1e-6

var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Document is one configuration document with its place in a file.
type Document struct {
	key       configurer.Key
	document  configurer.Document
	removed   bool
	position  Position
	positions map[string]Position
}

// Key returns the key of the document.
func (d Document) Key() configurer.Key { return d.key }

// Document returns the content, the zero document for a removal.
func (d Document) Document() configurer.Document { return d.document }

// Removed reports whether the file asks for the removal of the document.
func (d Document) Removed() bool { return d.removed }

// Position returns where the document begins.
func (d Document) Position() Position { return d.position }

// at returns the position of the value at a key, or of the document without it.
func (d Document) at(key string) Position {
	if p, ok := d.positions[key]; ok {
		return p
	}
	return d.position
}

// DecodeDocuments decodes the documents of one file. The path only serves for
// messages. It returns a ProblemsError with every problem of the content.
func DecodeDocuments(path string, content []byte) ([]Document, error) {
	p := &problems{}
	documents := decodeDocuments(path, content, p)
	return documents, p.err()
}

func decodeDocuments(path string, content []byte, p *problems) []Document {
	var documents []Document
	for _, body := range parse(path, content, p) {
		found := len(p.list)
		d := decodeDocument(newSection(path, "", body, p, nil))
		if len(p.list) == found {
			documents = append(documents, d)
		}
	}
	return documents
}

func decodeDocument(s *section) Document {
	const kinds = "one of model-service, application-service, customer, rank"
	d := Document{position: s.position, positions: make(map[string]Position)}
	s.require("kind", kinds)
	kind := s.choice("kind", "", "model-service", "application-service", "customer", "rank")
	name := s.nameAt("name")
	d.key = configurer.NewKey(nameSpace(kind), name)
	d.removed = s.flag("removed")
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
	s.finish()
	for k := range s.values {
		d.positions[k] = s.at(k)
	}
	return d
}

// nameSpace returns the kind in whose name space the documents of a file's
// kind live. Services of both kinds share one.
func nameSpace(kind string) configurer.Kind {
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
	for _, e := range s.texts("adapters", "the name of an adapter") {
		adapters = append(adapters, e.text)
	}
	options := []fuchsiapitch.ServiceOption{
		fuchsiapitch.WithModel(s.text("model", ""), s.plainText("version", "")),
		fuchsiapitch.WithAdapters(adapters...),
		fuchsiapitch.WithReplicas(s.count("replicas", 1), s.count("group-size", 1)),
	}
	if s.flag("fencing") {
		options = append(options, fuchsiapitch.WithFencing())
	}
	if s.flag("cross-domain") {
		options = append(options, fuchsiapitch.WithCrossDomain())
	}
	return decodeService(s, name, fuchsiapitch.ModelService, options)
}

func decodeApplicationService(s *section, name string) fuchsiapitch.Service {
	options := []fuchsiapitch.ServiceOption{
		fuchsiapitch.WithReplicas(s.count("replicas", 1), 1),
		fuchsiapitch.WithRoutes(decodeRoutes(s)...),
	}
	return decodeService(s, name, fuchsiapitch.ApplicationService, options)
}

// decodeService reads what both kinds of service share.
func decodeService(s *section, name string, kind fuchsiapitch.ServiceKind, options []fuchsiapitch.ServiceOption) fuchsiapitch.Service {
	const leastTimeout = time.Millisecond
	rank := fuchsiapitch.RankName(s.nameAt("rank"))
	defaults := fuchsiapitch.NewService("", kind, "")
	options = append(options,
		fuchsiapitch.WithConcurrency(s.count("concurrency", defaults.Concurrency())),
		fuchsiapitch.WithPlacementWeight(s.number("worth", defaults.PlacementWeight(), 0, math.MaxInt32, "a number, at least 0")),
		fuchsiapitch.WithTimeout(s.duration("timeout", defaults.Timeout(), leastTimeout)),
	)
	return fuchsiapitch.NewService(fuchsiapitch.ServiceName(name), kind, rank, options...)
}

func decodeRoutes(s *section) []fuchsiapitch.Route {
	var routes []fuchsiapitch.Route
	for _, n := range s.items("routes", "a list of routes") {
		r := newSection(s.files["routes"], "routes", n, s.problems, nil)
		method := r.choice("method", "", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
		prefix := r.text("prefix", "")
		if r.require("prefix", "a path that starts with /") && r.isText("prefix") && (prefix == "" || prefix[0] != '/') {
			r.reject("prefix", BadValue, "a path that starts with /")
		}
		idempotent := r.flag("idempotent")
		r.finish()
		routes = append(routes, fuchsiapitch.NewRoute(method, prefix, idempotent))
	}
	return routes
}

func decodeCustomer(s *section, name string) fuchsiapitch.Customer {
	limits := s.child("limits")
	options := []fuchsiapitch.CustomerOption{
		fuchsiapitch.WithWeight(s.number("weight", 1, leastWeight, math.MaxInt32, expectedWeight)),
		fuchsiapitch.WithKeyHashes(decodeKeyHashes(s)...),
		fuchsiapitch.WithAllowedRanks(decodeRankNames(s)...),
		fuchsiapitch.WithLimits(
			int(limits.integer("in-flight", 0, 0, expectedLimit)),
			limits.number("tokens-per-second", 0, 0, math.MaxInt32, "a number, at least 0, where 0 is no limit"),
			limits.integer("queue-bytes", 0, 0, expectedLimit),
		),
	}
	limits.finish()
	return fuchsiapitch.NewCustomer(fuchsiapitch.CustomerName(name), options...)
}

// decodeKeyHashes reads the hashes of the keys. Its messages never show a
// value, since a plain key in its place is a secret.
func decodeKeyHashes(s *section) []string {
	var hashes []string
	if !s.require("key-hashes", "a list with "+expectedKeyHash) {
		return nil
	}
	for _, e := range s.texts("key-hashes", expectedKeyHash) {
		if !keyHashPattern.MatchString(e.text) {
			s.problems.add(e.position, BadValue, "a value in key-hashes", expectedKeyHash)
		}
		hashes = append(hashes, e.text)
	}
	return hashes
}

func decodeRankNames(s *section) []fuchsiapitch.RankName {
	var ranks []fuchsiapitch.RankName
	for _, e := range s.texts("ranks", "the name of a rank") {
		ranks = append(ranks, fuchsiapitch.RankName(e.text))
	}
	return ranks
}

func decodeRank(s *section, name string) fuchsiapitch.Rank {
	const leastTarget = time.Millisecond
	s.require("order", "a whole number, 0 for the most urgent rank")
	s.require("first-token", expectedDuration)
	s.require("inter-token", expectedDuration)
	return fuchsiapitch.NewRank(fuchsiapitch.RankName(name),
		int(s.integer("order", 0, 0, "a whole number, 0 for the most urgent rank")),
		s.duration("first-token", leastTarget, leastTarget),
		s.duration("inter-token", leastTarget, leastTarget),
		s.number("worth", 1, 0, math.MaxInt32, "a number, at least 0"),
		s.number("floor", 0, 0, 1, "a fraction from 0 to 1"))
}
