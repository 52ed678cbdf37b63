package platformassembler

import (
	"context"
	"encoding/json"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/appender"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/pacer"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// leaderKey is the only key of the claims topic.
const leaderKey = "lead"

// hostRecord is the record by which an entry host registers in the store. Its key
// is the host's identifier.
type hostRecord struct {
	Address string `json:"address"`
}

// claimRecord is a host's claim to be the leader, which manages the groups of
// backend servers.
type claimRecord struct {
	Holder  string `json:"holder"`
	Started int64  `json:"started"`
}

func decodeHostRecord(i platform.Item) (coordinator.Peer, bool) {
	var r hostRecord
	if json.Unmarshal(i.Value, &r) != nil || r.Address == "" {
		return coordinator.Peer{}, false
	}
	return coordinator.Peer{ID: fuchsiapitch.HostID(i.Key), Address: r.Address}, true
}

func decodeClaimRecord(i platform.Item) (coordinator.ClaimRead, bool) {
	var r claimRecord
	if i.Key != leaderKey || json.Unmarshal(i.Value, &r) != nil || r.Holder == "" {
		return coordinator.ClaimRead{}, false
	}
	// Claim numbers start at 1, because 0 stands for no claim and the first record
	// has offset 0.
	return coordinator.ClaimRead{Number: i.Offset + 1, Holder: fuchsiapitch.HostID(r.Holder), Incarnation: r.Started}, true
}

// claimer appends leadership claims of this host to the store. It implements
// driver.Claimer.
type claimer struct {
	store         pacer.Store
	claimAppender *appender.Appender
	self          fuchsiapitch.HostID
	startedMS     int64
}

func newClaimer(store pacer.Store, self fuchsiapitch.HostID, startedMS int64) *claimer {
	return &claimer{
		store: store, claimAppender: appender.New(store, platform.ClaimsTopic, string(self), startedMS), self: self, startedMS: startedMS,
	}
}

// Claim implements driver.Claimer. It returns the newest claim if that is unknown to
// the caller or made by this process. Otherwise it appends a claim, on the condition
// that no other claim has been appended since the read.
func (c *claimer) Claim(ctx context.Context, known int64) (coordinator.ClaimRead, error) {
	page, err := c.store.Newest(ctx, platform.ClaimsTopic)
	if err != nil {
		return coordinator.ClaimRead{}, err
	}
	for _, i := range page.Items {
		claim, ok := decodeClaimRecord(i)
		if !ok {
			continue
		}
		if claim.Number > known || claim.Holder == c.self && claim.Incarnation == c.startedMS {
			return claim, nil
		}
	}
	value, err := json.Marshal(claimRecord{Holder: string(c.self), Started: c.startedMS})
	if err != nil {
		return coordinator.ClaimRead{}, err
	}
	offset, err := c.claimAppender.Append(ctx, leaderKey, value, page.Next)
	if err != nil {
		return coordinator.ClaimRead{}, err
	}
	return coordinator.ClaimRead{Number: offset + 1, Holder: c.self, Incarnation: c.startedMS}, nil
}
