package driver

import (
	"encoding/json"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
)

// heartbeatBody is the wire format of a heartbeat.
type heartbeatBody struct {
	Host                 string      `json:"host"`
	Address              string      `json:"address"`
	Incarnation          int64       `json:"started"`
	Claim                int64       `json:"claim,omitempty"`
	KnownClaim           int64       `json:"known-claim,omitempty"`
	Successor            string      `json:"heir,omitempty"`
	HandedOverClaim      int64       `json:"handed-claim,omitempty"`
	FormationCount       int64       `json:"formations,omitempty"`
	ConfigurationVersion int64       `json:"version,omitempty"`
	Eligible             bool        `json:"eligible,omitempty"`
	HasReceivedRequests  bool        `json:"busy,omitempty"`
	Stopping             bool        `json:"stopping,omitempty"`
	Loads                []loadBody  `json:"loads,omitempty"`
	Queues               []queueBody `json:"queues,omitempty"`
	Suspects             []string    `json:"suspects,omitempty"`
	Groups               []groupBody `json:"groups,omitempty"`
}

// loadBody is the wire format of the load of one host at one server.
type loadBody struct {
	Server          string `json:"server"`
	InFlight        int    `json:"running"`
	UnreadTokens    int    `json:"unread,omitempty"`
	SilentForMillis int64  `json:"silent-ms,omitempty"`
}

// queueBody is the wire format of the queue of one host for one model.
type queueBody struct {
	Service string `json:"service"`
	Model   string `json:"model,omitempty"`
	Length  int    `json:"waiting"`
}

// groupBody is the wire format of a group.
type groupBody struct {
	Name   string `json:"name"`
	Epoch  int64  `json:"epoch"`
	Model  string `json:"model"`
	Leader string `json:"head"`
	Open   bool   `json:"open,omitempty"`
}

// encodeHeartbeat encodes a heartbeat in its wire format.
func encodeHeartbeat(b coordinator.Heartbeat) ([]byte, error) {
	body := heartbeatBody{
		Host: string(b.From.ID), Address: b.From.Address, Incarnation: b.Incarnation,
		Claim: b.Claim, KnownClaim: b.KnownClaim, HasReceivedRequests: b.HasReceivedRequests, Stopping: b.Stopping,
		Successor: string(b.Successor), HandedOverClaim: b.HandedOverClaim, FormationCount: b.FormationCount,
		ConfigurationVersion: b.ConfigurationVersion, Eligible: b.Eligible,
	}
	for _, l := range b.ServerLoads {
		body.Loads = append(body.Loads, loadBody{Server: string(l.Server), InFlight: l.InFlight, UnreadTokens: l.UnreadTokens, SilentForMillis: l.SilentFor.Milliseconds()})
	}
	for _, q := range b.Queues {
		body.Queues = append(body.Queues, queueBody{Service: string(q.Service), Model: q.Model, Length: q.Length})
	}
	for _, s := range b.Suspects {
		body.Suspects = append(body.Suspects, string(s))
	}
	for _, g := range b.Groups {
		body.Groups = append(body.Groups, groupBody{
			Name: string(g.Ref.Name), Epoch: g.Ref.Epoch, Model: g.Model, Leader: string(g.Leader), Open: g.Open,
		})
	}
	return json.Marshal(body)
}

// decodeHeartbeat decodes a heartbeat. Its error is a HeartbeatError.
func decodeHeartbeat(data []byte) (coordinator.Heartbeat, error) {
	var body heartbeatBody
	if err := json.Unmarshal(data, &body); err != nil {
		return coordinator.Heartbeat{}, &HeartbeatError{Err: err}
	}
	b := coordinator.Heartbeat{
		From:        coordinator.Peer{ID: fuchsiapitch.HostID(body.Host), Address: body.Address},
		Incarnation: body.Incarnation, Claim: body.Claim, KnownClaim: body.KnownClaim, HasReceivedRequests: body.HasReceivedRequests, Stopping: body.Stopping,
		Successor: fuchsiapitch.HostID(body.Successor), HandedOverClaim: body.HandedOverClaim, FormationCount: body.FormationCount,
		ConfigurationVersion: body.ConfigurationVersion, Eligible: body.Eligible,
	}
	for _, l := range body.Loads {
		b.ServerLoads = append(b.ServerLoads, coordinator.ServerLoad{
			Server: fuchsiapitch.ServerID(l.Server), InFlight: l.InFlight, UnreadTokens: l.UnreadTokens,
			SilentFor: time.Duration(l.SilentForMillis) * time.Millisecond,
		})
	}
	for _, q := range body.Queues {
		b.Queues = append(b.Queues, coordinator.Queue{Service: fuchsiapitch.ServiceName(q.Service), Model: q.Model, Length: q.Length})
	}
	for _, s := range body.Suspects {
		b.Suspects = append(b.Suspects, fuchsiapitch.ServerID(s))
	}
	for _, g := range body.Groups {
		b.Groups = append(b.Groups, coordinator.GroupStatus{
			Ref:   fuchsiapitch.GroupRef{Name: fuchsiapitch.GroupID(g.Name), Epoch: g.Epoch},
			Model: g.Model, Leader: fuchsiapitch.ServerID(g.Leader), Open: g.Open,
		})
	}
	return b, nil
}
