package integrator

import (
	"context"
	"encoding/json"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/appender"
	"github.com/fuchsiapitch/fuchsiapitch/internal/conductor"
	"github.com/fuchsiapitch/fuchsiapitch/internal/pacer"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// leadKey is the one key of the topic of claims.
const leadKey = "lead"

// hostRecord is what a host says of itself in the store.
type hostRecord struct {
	Address string `json:"address"`
}

// claimRecord is a claim to the lead of the groups.
type claimRecord struct {
	Holder  string `json:"holder"`
	Started int64  `json:"started"`
}

func decodePeer(i platform.Item) (conductor.Peer, bool) {
	var r hostRecord
	if json.Unmarshal(i.Value, &r) != nil || r.Address == "" {
		return conductor.Peer{}, false
	}
	return conductor.Peer{ID: fuchsiapitch.HostID(i.Key), Address: r.Address}, true
}

func decodeClaim(i platform.Item) (conductor.ClaimRead, bool) {
	var r claimRecord
	if i.Key != leadKey || json.Unmarshal(i.Value, &r) != nil || r.Holder == "" {
		return conductor.ClaimRead{}, false
	}
	// The first record has offset 0, and 0 stands for no claim.
	return conductor.ClaimRead{Number: i.Offset + 1, Holder: fuchsiapitch.HostID(r.Holder), Started: r.Started}, true
}

// claimer enters claims to the lead in the store. It implements driver.Claimer.
type claimer struct {
	store   pacer.Store
	claims  *appender.Appender
	self    fuchsiapitch.HostID
	started int64
}

func newClaimer(store pacer.Store, self fuchsiapitch.HostID, started int64) *claimer {
	return &claimer{
		store: store, claims: appender.New(store, platform.ClaimsTopic, string(self), started), self: self, started: started,
	}
}

// Claim implements driver.Claimer.
func (c *claimer) Claim(ctx context.Context, known int64) (conductor.ClaimRead, error) {
	page, err := c.store.Newest(ctx, platform.ClaimsTopic)
	if err != nil {
		return conductor.ClaimRead{}, err
	}
	for _, i := range page.Items {
		read, ok := decodeClaim(i)
		if !ok {
			continue
		}
		if read.Number > known || read.Holder == c.self && read.Started == c.started {
			return read, nil
		}
	}
	value, err := json.Marshal(claimRecord{Holder: string(c.self), Started: c.started})
	if err != nil {
		return conductor.ClaimRead{}, err
	}
	offset, err := c.claims.Append(ctx, leadKey, value, page.Next)
	if err != nil {
		return conductor.ClaimRead{}, err
	}
	return conductor.ClaimRead{Number: offset + 1, Holder: c.self, Started: c.started}, nil
}
