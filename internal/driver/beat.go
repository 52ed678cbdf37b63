package driver

import (
	"encoding/json"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/conductor"
)

// beatBody is a heartbeat as it travels between hosts.
type beatBody struct {
	Host       string      `json:"host"`
	Address    string      `json:"address"`
	Started    int64       `json:"started"`
	Claim      int64       `json:"claim,omitempty"`
	KnownClaim int64       `json:"known-claim,omitempty"`
	Heir       string      `json:"heir,omitempty"`
	Handed     int64       `json:"handed-claim,omitempty"`
	Formations int64       `json:"formations,omitempty"`
	Version    int64       `json:"version,omitempty"`
	Eligible   bool        `json:"eligible,omitempty"`
	Busy       bool        `json:"busy,omitempty"`
	Stopping   bool        `json:"stopping,omitempty"`
	Loads      []loadBody  `json:"loads,omitempty"`
	Queues     []queueBody `json:"queues,omitempty"`
	Suspects   []string    `json:"suspects,omitempty"`
	Groups     []groupBody `json:"groups,omitempty"`
}

type loadBody struct {
	Server  string `json:"server"`
	Running int    `json:"running"`
	Unread  int    `json:"unread,omitempty"`
	Silent  int64  `json:"silent-ms,omitempty"`
}

type queueBody struct {
	Service string `json:"service"`
	Model   string `json:"model,omitempty"`
	Waiting int    `json:"waiting"`
}

type groupBody struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Model string `json:"model"`
	Head  string `json:"head"`
	Open  bool   `json:"open,omitempty"`
}

// encodeBeat returns a heartbeat as it travels.
func encodeBeat(b conductor.Beat) ([]byte, error) {
	body := beatBody{
		Host: string(b.From.ID), Address: b.From.Address, Started: b.Started,
		Claim: b.Claim, KnownClaim: b.KnownClaim, Busy: b.Busy, Stopping: b.Stopping,
		Heir: string(b.Heir), Handed: b.HandedClaim, Formations: b.Formations,
		Version: b.Version, Eligible: b.Eligible,
	}
	for _, l := range b.Loads {
		body.Loads = append(body.Loads, loadBody{Server: string(l.Server), Running: l.Running, Unread: l.Unread, Silent: l.Silent.Milliseconds()})
	}
	for _, q := range b.Queues {
		body.Queues = append(body.Queues, queueBody{Service: string(q.Service), Model: q.Model, Waiting: q.Waiting})
	}
	for _, s := range b.Suspects {
		body.Suspects = append(body.Suspects, string(s))
	}
	for _, g := range b.Groups {
		body.Groups = append(body.Groups, groupBody{
			Name: string(g.Ref.Name), Epoch: g.Ref.Epoch, Model: g.Model, Head: string(g.Head), Open: g.Open,
		})
	}
	return json.Marshal(body)
}

// decodeBeat reads a heartbeat.
func decodeBeat(data []byte) (conductor.Beat, error) {
	var body beatBody
	if err := json.Unmarshal(data, &body); err != nil {
		return conductor.Beat{}, &BeatError{Err: err}
	}
	b := conductor.Beat{
		From:    conductor.Peer{ID: fuchsiapitch.HostID(body.Host), Address: body.Address},
		Started: body.Started, Claim: body.Claim, KnownClaim: body.KnownClaim, Busy: body.Busy, Stopping: body.Stopping,
		Heir: fuchsiapitch.HostID(body.Heir), HandedClaim: body.Handed, Formations: body.Formations,
		Version: body.Version, Eligible: body.Eligible,
	}
	for _, l := range body.Loads {
		b.Loads = append(b.Loads, conductor.Load{
			Server: fuchsiapitch.ServerID(l.Server), Running: l.Running, Unread: l.Unread,
			Silent: time.Duration(l.Silent) * time.Millisecond,
		})
	}
	for _, q := range body.Queues {
		b.Queues = append(b.Queues, conductor.Queue{Service: fuchsiapitch.ServiceName(q.Service), Model: q.Model, Waiting: q.Waiting})
	}
	for _, s := range body.Suspects {
		b.Suspects = append(b.Suspects, fuchsiapitch.ServerID(s))
	}
	for _, g := range body.Groups {
		b.Groups = append(b.Groups, conductor.GroupLine{
			Ref:   fuchsiapitch.GroupRef{Name: fuchsiapitch.GroupID(g.Name), Epoch: g.Epoch},
			Model: g.Model, Head: fuchsiapitch.ServerID(g.Head), Open: g.Open,
		})
	}
	return b, nil
}
