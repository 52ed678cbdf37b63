package platformassembler

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/appender"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/pacer"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// controllerKey is the only key of the claims topic.
const controllerKey = "lead"

// hostRecord is the record by which an entry host registers in the store. Its key
// is the host's identifier.
type hostRecord struct {
	Address    string `json:"address"`
	DataCentre string `json:"data-centre,omitempty"`
	Capacity   int    `json:"capacity,omitempty"`
}

// claimRecord is a host's claim to be the controller, which manages the groups of
// backend servers.
type claimRecord struct {
	Holder  string `json:"holder"`
	Started int64  `json:"started"`
}

// maxCapacity exceeds the capacity of any host, which is a bandwidth in Mbit/s.
const maxCapacity = 1 << 24

// decodeHostRecord returns false if the record is not one that a host writes: its address is
// an IP address, since heartbeats must not wait for a name server.
func decodeHostRecord(record platform.Record) (coordinator.Peer, bool) {
	var r hostRecord
	if json.Unmarshal(record.Value, &r) != nil || !platform.IsIdentifier(record.Key) || !platform.IsName(r.DataCentre) || r.Capacity < 0 || r.Capacity > maxCapacity {
		return coordinator.Peer{}, false
	}
	if a, err := netip.ParseAddrPort(r.Address); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return coordinator.Peer{}, false
	}
	return coordinator.Peer{
		ID: fuchsiapitch.HostID(record.Key), Address: r.Address, DataCentre: fuchsiapitch.DataCentreName(r.DataCentre), Capacity: r.Capacity,
	}, true
}

func decodeClaimRecord(record platform.Record) (coordinator.ClaimRead, bool) {
	var r claimRecord
	if record.Key != controllerKey || json.Unmarshal(record.Value, &r) != nil || !platform.IsIdentifier(r.Holder) {
		return coordinator.ClaimRead{}, false
	}
	// Claim numbers start at 1, because 0 stands for no claim and the first record
	// has offset 0.
	return coordinator.ClaimRead{Number: record.Offset + 1, Holder: fuchsiapitch.HostID(r.Holder), Incarnation: r.Started}, true
}

// claimer appends this host's claims to be the controller to the store. It implements
// driver.Claimer.
type claimer struct {
	store             pacer.Store
	claimAppender     *appender.Appender
	self              fuchsiapitch.HostID
	startedUnixMillis int64
}

func newClaimer(store pacer.Store, self fuchsiapitch.HostID, startedUnixMillis int64) *claimer {
	return &claimer{
		store: store, claimAppender: appender.New(store, platform.ClaimsTopic, string(self), startedUnixMillis), self: self, startedUnixMillis: startedUnixMillis,
	}
}

// Claim implements driver.Claimer. It returns the newest claim if its number is above
// the known one or if this process made it. Otherwise it appends a claim, on the
// condition that no other claim has been appended since the read.
func (c *claimer) Claim(ctx context.Context, knownClaim int64) (coordinator.ClaimRead, error) {
	page, err := c.store.Newest(ctx, platform.ClaimsTopic)
	if err != nil {
		return coordinator.ClaimRead{}, err
	}
	for _, r := range page.Records {
		claim, ok := decodeClaimRecord(r)
		if !ok {
			continue
		}
		if claim.Number > knownClaim || claim.Holder == c.self && claim.Incarnation == c.startedUnixMillis {
			return claim, nil
		}
	}
	value, err := json.Marshal(claimRecord{Holder: string(c.self), Started: c.startedUnixMillis})
	if err != nil {
		return coordinator.ClaimRead{}, err
	}
	offset, err := c.claimAppender.Append(ctx, controllerKey, value, page.NextOffset)
	if err != nil {
		return coordinator.ClaimRead{}, err
	}
	return coordinator.ClaimRead{Number: offset + 1, Holder: c.self, Incarnation: c.startedUnixMillis}, nil
}
