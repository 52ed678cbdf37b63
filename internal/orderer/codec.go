package orderer

import (
	"encoding/json"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// UnexpectedServerError reports that a different backend server responded than the one
// to which the request was addressed.
type UnexpectedServerError struct {
	// Actual is the backend server that responded.
	Actual fuchsiapitch.ServerID
}

// Error implements error.
func (e *UnexpectedServerError) Error() string {
	return "status is from a different backend server: " + string(e.Actual)
}

// statusResponse is the JSON form of an engine status.
type statusResponse struct {
	Server           string   `json:"server"`
	Incarnation      uint64   `json:"incarnation"`
	Term             uint64   `json:"term"`
	Sequence         uint64   `json:"sequence"`
	Group            string   `json:"group"`
	Service          string   `json:"service"`
	Members          []string `json:"members"`
	Model            string   `json:"model"`
	Version          string   `json:"version"`
	Adapters         []string `json:"adapters"`
	Ready            bool     `json:"ready"`
	Leaving          bool     `json:"leaving"`
	RunningRequests  int      `json:"running"`
	PrefixCacheBytes int64    `json:"cached-bytes"`
}

// orderRequest is the JSON form of an order.
type orderRequest struct {
	Term     uint64   `json:"term"`
	Sequence uint64   `json:"sequence"`
	Group    string   `json:"group"`
	Service  string   `json:"service"`
	Members  []string `json:"members"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

// cacheEventEntry is the JSON form of a cache event.
type cacheEventEntry struct {
	Sequence   uint64 `json:"sequence"`
	PrefixHash uint64 `json:"prefix"`
	Evicted    bool   `json:"evicted"`
}

func decodeStatus(data []byte) (fuchsiapitch.EngineStatus, error) {
	var response statusResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return fuchsiapitch.EngineStatus{}, err
	}
	members := make([]fuchsiapitch.ServerID, 0, len(response.Members))
	for _, m := range response.Members {
		members = append(members, fuchsiapitch.ServerID(m))
	}
	options := []fuchsiapitch.EngineStatusOption{fuchsiapitch.WithReportedLoad(response.RunningRequests, response.PrefixCacheBytes)}
	if response.Ready {
		options = append(options, fuchsiapitch.WithReady())
	}
	if response.Leaving {
		options = append(options, fuchsiapitch.WithEngineLeaving())
	}
	assignment := fuchsiapitch.NewAssignment(fuchsiapitch.GroupID(response.Group), fuchsiapitch.ServiceName(response.Service),
		members, response.Model, response.Version, response.Adapters...)
	fencingToken := fuchsiapitch.NewFencingToken(fuchsiapitch.Term(response.Term), response.Sequence)
	return fuchsiapitch.NewEngineStatus(fuchsiapitch.ServerID(response.Server), response.Incarnation, fencingToken, assignment, options...), nil
}

func encodeOrder(o fuchsiapitch.Order) []byte {
	assignment := o.Assignment()
	members := make([]string, 0, len(assignment.Members()))
	for _, m := range assignment.Members() {
		members = append(members, string(m))
	}
	// Marshalling a struct of strings and numbers cannot fail.
	data, _ := json.Marshal(orderRequest{
		Term: uint64(o.FencingToken().Term()), Sequence: o.FencingToken().Sequence(),
		Group: string(assignment.Group()), Service: string(assignment.Service()), Members: members,
		Model: assignment.Model(), Version: assignment.Version(), Adapters: assignment.Adapters(),
	})
	return data
}

func decodeCacheEvents(data []byte) ([]fuchsiapitch.CacheEvent, error) {
	var entries []cacheEventEntry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, err
	}
	events := make([]fuchsiapitch.CacheEvent, 0, len(entries))
	for _, entry := range entries {
		events = append(events, fuchsiapitch.NewCacheEvent(entry.Sequence, entry.PrefixHash, entry.Evicted))
	}
	return events, nil
}
