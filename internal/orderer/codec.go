package orderer

import (
	"encoding/json"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// IdentityError reports an account of another backend server.
type IdentityError struct {
	// Got is the backend server that answered.
	Got fuchsiapitch.ServerID
}

// Error implements error.
func (e *IdentityError) Error() string {
	return "the account is of backend server " + string(e.Got)
}

// accountAnswer is the wire form of an account.
type accountAnswer struct {
	Server      string   `json:"server"`
	Incarnation uint64   `json:"incarnation"`
	Term        uint64   `json:"term"`
	Sequence    uint64   `json:"sequence"`
	Group       string   `json:"group"`
	Service     string   `json:"service"`
	Members     []string `json:"members"`
	Model       string   `json:"model"`
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters"`
	Ready       bool     `json:"ready"`
	Leaving     bool     `json:"leaving"`
	Running     int      `json:"running"`
	CachedBytes int64    `json:"cached-bytes"`
}

// orderBody is the wire form of an order.
type orderBody struct {
	Term     uint64   `json:"term"`
	Sequence uint64   `json:"sequence"`
	Group    string   `json:"group"`
	Service  string   `json:"service"`
	Members  []string `json:"members"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// eventAnswer is the wire form of a cache event.
type eventAnswer struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

func decodeAccount(data []byte) (fuchsiapitch.EngineStatus, error) {
	var a accountAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		return fuchsiapitch.EngineStatus{}, err
	}
	members := make([]fuchsiapitch.ServerID, 0, len(a.Members))
	for _, m := range a.Members {
		members = append(members, fuchsiapitch.ServerID(m))
	}
	options := []fuchsiapitch.EngineStatusOption{fuchsiapitch.WithReportedLoad(a.Running, a.CachedBytes)}
	if a.Ready {
		options = append(options, fuchsiapitch.WithReady())
	}
	if a.Leaving {
		options = append(options, fuchsiapitch.WithEngineLeaving())
	}
	assignment := fuchsiapitch.NewAssignment(fuchsiapitch.GroupID(a.Group), fuchsiapitch.ServiceName(a.Service),
		members, a.Model, a.Version, a.Adapters...)
	fence := fuchsiapitch.NewFencingToken(fuchsiapitch.Term(a.Term), a.Sequence)
	return fuchsiapitch.NewEngineStatus(fuchsiapitch.ServerID(a.Server), a.Incarnation, fence, assignment, options...), nil
}

func encodeOrder(o fuchsiapitch.Order) []byte {
	a := o.Assignment()
	members := make([]string, 0, len(a.Members()))
	for _, m := range a.Members() {
		members = append(members, string(m))
	}
	// Marshalling strings and numbers cannot fail.
	data, _ := json.Marshal(orderBody{
		Term: uint64(o.FencingToken().Term()), Sequence: o.FencingToken().Sequence(),
		Group: string(a.Group()), Service: string(a.Service()), Members: members,
		Model: a.Model(), Version: a.Version(), Adapters: a.Adapters(),
	})
	return data
}

func decodeCacheEvents(data []byte) ([]fuchsiapitch.CacheEvent, error) {
	var answers []eventAnswer
	if err := json.Unmarshal(data, &answers); err != nil {
		return nil, err
	}
	events := make([]fuchsiapitch.CacheEvent, 0, len(answers))
	for _, a := range answers {
		events = append(events, fuchsiapitch.NewCacheEvent(a.Sequence, a.Prefix, a.Evicted))
	}
	return events, nil
}
