// Package encoder converts domain types to and from their protobuf wire types. The
// conversions are written by hand.
package encoder

import (
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
	"github.com/fuchsiapitch/fuchsiapitch/internal/gossiper"
)

// EncodeHost returns the wire message for a host.
func EncodeHost(h fuchsiapitch.Host) *wire.Host {
	return &wire.Host{Id: string(h.ID()), Address: h.Address(), DataCentre: string(h.DataCentre()), Incarnation: h.Incarnation()}
}

// DecodeHost returns the host in a wire message.
func DecodeHost(w *wire.Host) fuchsiapitch.Host {
	return fuchsiapitch.NewHost(fuchsiapitch.HostID(w.GetId()), w.GetAddress(),
		fuchsiapitch.DataCentreName(w.GetDataCentre()), w.GetIncarnation())
}

// EncodeHeartbeat returns the wire message for a heartbeat.
func EncodeHeartbeat(h gossiper.Heartbeat) *wire.Heartbeat {
	w := &wire.Heartbeat{
		From: EncodeHost(h.Sender), Sequence: h.Sequence, Leaving: h.Leaving,
		Configuration: uint64(h.ConfigurationOffset), ConfigurationHash: h.ConfigurationHash,
		PromiseTerm: uint64(h.Promise.Term), PromiseRemainingMs: h.Promise.Remaining.Milliseconds(),
		PromiseWanted: h.Promise.Wanted, PromiseIncarnation: h.Promise.Incarnation, PromiseEcho: h.Promise.Echo,
		Pending: h.PendingRecords,
	}
	for _, b := range h.FaultyMembers {
		w.Broken = append(w.Broken, string(b))
	}
	for _, l := range h.Loads {
		w.Loads = append(w.Loads, encodeServiceLoad(l))
	}
	for _, r := range h.RemoteLoads {
		w.Remotes = append(w.Remotes, &wire.CentreLoad{
			Bridge: EncodeHost(r.Bridge), Load: encodeServiceLoad(r.Load), AgeMs: r.Age.Milliseconds(),
		})
	}
	for _, d := range h.Demands {
		w.Demands = append(w.Demands, &wire.CustomerDemand{
			Customer: string(d.Customer), InFlight: toUint32(d.InFlight), TokensPerSecond: d.TokensPerSecond,
		})
	}
	for _, v := range h.Views {
		w.Views = append(w.Views, &wire.PeerView{Host: EncodeHost(v.Host), Standing: toUint32(int(v.State))})
	}
	return w
}

// DecodeHeartbeat returns the heartbeat in a wire message.
func DecodeHeartbeat(w *wire.Heartbeat) gossiper.Heartbeat {
	h := gossiper.Heartbeat{
		Sender: DecodeHost(w.GetFrom()), Sequence: w.GetSequence(), Leaving: w.GetLeaving(),
		ConfigurationOffset: fuchsiapitch.Offset(w.GetConfiguration()), ConfigurationHash: w.GetConfigurationHash(),
		Promise: gossiper.NoClaimPromise{
			Term:      fuchsiapitch.Term(w.GetPromiseTerm()),
			Remaining: time.Duration(w.GetPromiseRemainingMs()) * time.Millisecond,
			Wanted:    w.GetPromiseWanted(), Incarnation: w.GetPromiseIncarnation(), Echo: w.GetPromiseEcho(),
		},
	}
	h.PendingRecords = w.GetPending()
	for _, b := range w.GetBroken() {
		h.FaultyMembers = append(h.FaultyMembers, fuchsiapitch.ServerID(b))
	}
	for _, l := range w.GetLoads() {
		h.Loads = append(h.Loads, decodeServiceLoad(l))
	}
	for _, r := range w.GetRemotes() {
		h.RemoteLoads = append(h.RemoteLoads, gossiper.DataCentreLoad{
			Bridge: DecodeHost(r.GetBridge()), Load: decodeServiceLoad(r.GetLoad()),
			Age: time.Duration(r.GetAgeMs()) * time.Millisecond,
		})
	}
	for _, d := range w.GetDemands() {
		h.Demands = append(h.Demands, gossiper.CustomerDemand{
			Customer: fuchsiapitch.CustomerName(d.GetCustomer()), InFlight: int(d.GetInFlight()),
			TokensPerSecond: d.GetTokensPerSecond(),
		})
	}
	for _, v := range w.GetViews() {
		h.Views = append(h.Views, gossiper.PeerView{Host: DecodeHost(v.GetHost()), State: gossiper.MemberState(v.GetStanding())})
	}
	return h
}

func encodeServiceLoad(l gossiper.ServiceLoad) *wire.ServiceLoad {
	return &wire.ServiceLoad{
		Service: string(l.Service), Slots: toUint32(l.Slots), InFlight: toUint32(l.InFlight), Queued: toUint32(l.Queued),
		PaceUs: toUint32(int(l.MedianInterTokenTime.Microseconds())),
	}
}

func decodeServiceLoad(w *wire.ServiceLoad) gossiper.ServiceLoad {
	return gossiper.ServiceLoad{
		Service: fuchsiapitch.ServiceName(w.GetService()), Slots: int(w.GetSlots()),
		InFlight: int(w.GetInFlight()), Queued: int(w.GetQueued()),
		MedianInterTokenTime: time.Duration(w.GetPaceUs()) * time.Microsecond,
	}
}

// toUint32 converts a count, an enum value or a number of microseconds to its wire
// type. A negative value becomes 0.
func toUint32(n int) uint32 {
	return uint32(max(n, 0)) //nolint:gosec // the values are far below math.MaxUint32
}

// EncodeDispatchRequest returns the wire message for a request and its call, which an
// entry host forwards to a dispatcher.
func EncodeDispatchRequest(from fuchsiapitch.Host, r fuchsiapitch.Request, c fuchsiapitch.Call) *wire.DispatchRequest {
	return &wire.DispatchRequest{
		Id: string(r.ID()), Service: string(r.Service()), Customer: string(r.Customer()), Rank: string(r.Rank()),
		Cost: r.EstimatedTokens(), Prefix: r.PrefixHash(), Idempotent: r.Idempotent(), Stream: r.Streaming(),
		RemainingMs: r.TimeLimit().Milliseconds(), From: string(from.ID()), FromDataCentre: string(from.DataCentre()), Offset: int64(c.TokenOffset()),
		Method: c.Method(), Path: c.Path(), Header: EncodeHeader(c.Header()), Body: c.Body(),
	}
}

// DecodeDispatchRequest returns the request and the call in a wire message.
func DecodeDispatchRequest(w *wire.DispatchRequest) (fuchsiapitch.Request, fuchsiapitch.Call) {
	requestOptions := []fuchsiapitch.RequestOption{
		fuchsiapitch.WithEstimatedCost(w.GetCost(), int64(len(w.GetBody()))),
		fuchsiapitch.WithPrefixHash(w.GetPrefix()),
		fuchsiapitch.WithTimeLimit(time.Duration(w.GetRemainingMs()) * time.Millisecond),
	}
	callOptions := []fuchsiapitch.CallOption{fuchsiapitch.WithHeader(DecodeHeader(w.GetHeader()))}
	if w.GetIdempotent() {
		requestOptions = append(requestOptions, fuchsiapitch.WithIdempotentRequest())
		callOptions = append(callOptions, fuchsiapitch.WithIdempotent())
	}
	if w.GetStream() {
		requestOptions = append(requestOptions, fuchsiapitch.WithTokenStream())
		callOptions = append(callOptions, fuchsiapitch.WithStream(int(w.GetOffset())))
	}
	id := fuchsiapitch.RequestID(w.GetId())
	request := fuchsiapitch.NewRequest(id, fuchsiapitch.ServiceName(w.GetService()),
		fuchsiapitch.CustomerName(w.GetCustomer()), fuchsiapitch.RankName(w.GetRank()), requestOptions...)
	return request, fuchsiapitch.NewCall(id, w.GetMethod(), w.GetPath(), w.GetBody(), callOptions...)
}

// EncodeHeader returns the wire message for HTTP header fields.
func EncodeHeader(header map[string][]string) []*wire.HeaderField {
	fields := make([]*wire.HeaderField, 0, len(header))
	for name, values := range header {
		fields = append(fields, &wire.HeaderField{Name: name, Values: values})
	}
	return fields
}

// DecodeHeader returns the HTTP header fields in a wire message.
func DecodeHeader(fields []*wire.HeaderField) map[string][]string {
	header := make(map[string][]string, len(fields))
	for _, f := range fields {
		header[f.GetName()] = f.GetValues()
	}
	return header
}
