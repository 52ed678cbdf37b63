package encoder

import (
	"encoding/hex"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
)

// EncodeDocument returns the encoded content of a document. It keeps the fields of
// the current content that this version does not know, so that a publisher of an
// older version does not remove fields set by a newer one. It returns a RecordError
// if the document cannot be encoded.
func EncodeDocument(document configurer.Document, currentContent []byte) ([]byte, error) {
	w, err := encodeContent(document)
	if err != nil {
		return nil, err
	}
	currentMessage := w.ProtoReflect().New().Interface()
	if err := proto.Unmarshal(currentContent, currentMessage); err == nil {
		w.ProtoReflect().SetUnknown(currentMessage.ProtoReflect().GetUnknown())
	}
	content, err := deterministic.Marshal(w)
	if err != nil {
		return nil, &RecordError{Detail: document.Key().String() + " cannot be encoded", Err: err}
	}
	return content, nil
}

func encodeContent(document configurer.Document) (proto.Message, error) {
	if s, ok := document.Service(); ok {
		return encodeService(s), nil
	}
	if c, ok := document.Customer(); ok {
		return encodeCustomer(c)
	}
	if r, ok := document.Rank(); ok {
		return &wire.RankContent{
			Name: string(r.Name()), Order: toUint32(r.Order()), FirstTokenNs: int64(r.FirstTokenTarget()),
			InterTokenNs: int64(r.InterTokenTarget()), Worth: r.TokenValue(), Floor: r.MinCapacityShare(),
		}, nil
	}
	return nil, &RecordError{Detail: "document is empty"}
}

// DecodeDocument returns the document in encoded content. It returns the zero
// document if the content is malformed or the kind is unknown.
func DecodeDocument(kind configurer.Kind, content []byte) configurer.Document {
	switch kind {
	case configurer.ServiceKind:
		w := &wire.ServiceContent{}
		if proto.Unmarshal(content, w) == nil {
			return configurer.NewServiceDocument(decodeService(w))
		}
	case configurer.CustomerKind:
		w := &wire.CustomerContent{}
		if proto.Unmarshal(content, w) == nil {
			return configurer.NewCustomerDocument(decodeCustomer(w))
		}
	case configurer.RankKind:
		w := &wire.RankContent{}
		if proto.Unmarshal(content, w) == nil {
			return configurer.NewRankDocument(fuchsiapitch.NewRank(fuchsiapitch.RankName(w.GetName()), int(w.GetOrder()),
				time.Duration(w.GetFirstTokenNs()), time.Duration(w.GetInterTokenNs()), w.GetWorth(), w.GetFloor()))
		}
	}
	return configurer.Document{}
}

func encodeService(s fuchsiapitch.Service) *wire.ServiceContent {
	w := &wire.ServiceContent{
		Name: string(s.Name()), Kind: toUint32(int(s.Kind())), Rank: string(s.Rank()),
		Model: s.Model(), Version: s.Version(), Adapters: s.Adapters(),
		Replicas: toUint32(s.ReplicasPerDataCentre()), GroupSize: toUint32(s.GroupSize()), Concurrency: toUint32(s.Concurrency()),
		Worth: s.PlacementWeight(), Fenced: s.EnforcesFencing(), CrossDomain: s.AllowsCrossDomain(), TimeoutNs: int64(s.Timeout()),
	}
	for _, r := range s.Routes() {
		w.Routes = append(w.Routes, &wire.RouteContent{Method: r.Method(), Prefix: r.PathPrefix(), Idempotent: r.Idempotent()})
	}
	return w
}

func decodeService(w *wire.ServiceContent) fuchsiapitch.Service {
	options := []fuchsiapitch.ServiceOption{
		fuchsiapitch.WithModel(w.GetModel(), w.GetVersion()),
		fuchsiapitch.WithAdapters(w.GetAdapters()...),
		fuchsiapitch.WithReplicas(int(w.GetReplicas()), int(w.GetGroupSize())),
		fuchsiapitch.WithConcurrency(int(w.GetConcurrency())),
		fuchsiapitch.WithPlacementWeight(w.GetWorth()),
		fuchsiapitch.WithTimeout(time.Duration(w.GetTimeoutNs())),
	}
	if w.GetFenced() {
		options = append(options, fuchsiapitch.WithFencing())
	}
	if w.GetCrossDomain() {
		options = append(options, fuchsiapitch.WithCrossDomain())
	}
	var routes []fuchsiapitch.Route
	for _, r := range w.GetRoutes() {
		routes = append(routes, fuchsiapitch.NewRoute(r.GetMethod(), r.GetPrefix(), r.GetIdempotent()))
	}
	options = append(options, fuchsiapitch.WithRoutes(routes...))
	return fuchsiapitch.NewService(fuchsiapitch.ServiceName(w.GetName()),
		fuchsiapitch.ServiceKind(w.GetKind()), fuchsiapitch.RankName(w.GetRank()), options...)
}

func encodeCustomer(c fuchsiapitch.Customer) (*wire.CustomerContent, error) {
	w := &wire.CustomerContent{
		Name: string(c.Name()), Weight: c.Weight(), InFlight: toUint32(c.MaxInFlight()),
		TokensPerSecond: c.MaxTokensPerSecond(), QueueBytes: c.MaxQueuedBytes(),
	}
	for _, h := range c.KeyHashes() {
		hash, err := hex.DecodeString(h)
		if err != nil {
			return nil, &RecordError{Detail: "a key hash of customer " + string(c.Name()) + " is not hexadecimal", Err: err}
		}
		w.KeyHashes = append(w.KeyHashes, hash)
	}
	for _, r := range c.AllowedRanks() {
		w.Ranks = append(w.Ranks, string(r))
	}
	return w, nil
}

func decodeCustomer(w *wire.CustomerContent) fuchsiapitch.Customer {
	hashes := make([]string, len(w.GetKeyHashes()))
	for i, h := range w.GetKeyHashes() {
		hashes[i] = hex.EncodeToString(h)
	}
	ranks := make([]fuchsiapitch.RankName, len(w.GetRanks()))
	for i, r := range w.GetRanks() {
		ranks[i] = fuchsiapitch.RankName(r)
	}
	return fuchsiapitch.NewCustomer(fuchsiapitch.CustomerName(w.GetName()),
		fuchsiapitch.WithWeight(w.GetWeight()), fuchsiapitch.WithKeyHashes(hashes...),
		fuchsiapitch.WithAllowedRanks(ranks...), fuchsiapitch.WithLimits(int(w.GetInFlight()), w.GetTokensPerSecond(), w.GetQueueBytes()))
}
