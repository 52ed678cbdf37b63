package platformassembler

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/appender"
	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/pacer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/rewinder"
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
	// Era is the era of the store in which the claim was sent, 0 if the store states none.
	Era int64 `json:"era,omitempty"`
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

// decodeClaimRecord decodes a claim that was read in an era. A claim that is not confirmed in that
// era has no incarnation, so that it counts as held by an earlier process.
func decodeClaimRecord(record platform.Record, readEra int64) (coordinator.ClaimRead, bool) {
	var r claimRecord
	if record.Key != controllerKey || json.Unmarshal(record.Value, &r) != nil || !platform.IsIdentifier(r.Holder) {
		return coordinator.ClaimRead{}, false
	}
	claim := coordinator.ClaimRead{Number: rewinder.ClaimNumber(r.Era, record.Offset), Holder: fuchsiapitch.HostID(r.Holder)}
	if rewinder.IsConfirmed(r.Era, readEra) {
		claim.Incarnation = r.Started
	}
	return claim, claim.Number > 0
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

// ClaimRangeError reports a claim whose era or offset is out of the range of claim numbers.
type ClaimRangeError struct {
	// Era and Offset are the position of the claim.
	Era, Offset int64
}

// Error implements error.
func (e *ClaimRangeError) Error() string {
	return fmt.Sprintf("claim at offset %d of era %d has no number", e.Offset, e.Era)
}

// Claim implements driver.Claimer. It returns the newest claim if its number is above
// the known one or if this process made it. Otherwise it appends a claim, on the
// condition that no other claim has been appended since the read and the store has not gone
// back. Its error is a ClaimRangeError if the claim has no number.
func (c *claimer) Claim(ctx context.Context, knownClaim int64) (coordinator.ClaimRead, error) {
	page, err := c.store.Newest(ctx, platform.ClaimsTopic)
	if err != nil {
		return coordinator.ClaimRead{}, err
	}
	for _, r := range page.Records {
		claim, ok := decodeClaimRecord(r, page.Era)
		if !ok {
			continue
		}
		if claim.Number > knownClaim || claim.Holder == c.self && claim.Incarnation == c.startedUnixMillis {
			return claim, nil
		}
	}
	value, err := json.Marshal(claimRecord{Holder: string(c.self), Started: c.startedUnixMillis, Era: page.Era})
	if err != nil {
		return coordinator.ClaimRead{}, err
	}
	offset, err := c.claimAppender.AppendInEra(ctx, controllerKey, value, page.NextOffset, page.Era)
	if err != nil {
		return coordinator.ClaimRead{}, err
	}
	number := rewinder.ClaimNumber(page.Era, offset)
	if number == 0 {
		return coordinator.ClaimRead{}, &ClaimRangeError{Era: page.Era, Offset: offset}
	}
	return coordinator.ClaimRead{Number: number, Holder: c.self, Incarnation: c.startedUnixMillis}, nil
}
