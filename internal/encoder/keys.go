package encoder

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/deduplicator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
)

// KeyGroupError reports a record of a stream of idempotency keys that cannot be
// encoded or decoded.
type KeyGroupError struct {
	// Err is the error of the codec.
	Err error
}

// Error implements error.
func (e *KeyGroupError) Error() string { return "idempotency key record: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *KeyGroupError) Unwrap() error { return e.Err }

// EncodeKeyGroup returns the data of a record with a group of claims and
// completions.
func EncodeKeyGroup(group deduplicator.Batch) ([]byte, error) {
	w := &wire.KeyGroup{}
	for _, c := range group.Claims {
		w.Claims = append(w.Claims, &wire.KeyClaim{
			Key: c.Key[:], Request: string(c.RequestID), BodyHash: c.BodyHash,
			StampMs: c.ClaimedAt.UnixMilli(), ExpiryMs: c.RequestExpiresAt.UnixMilli(),
		})
	}
	for _, c := range group.Completions {
		k := &wire.KeyCompletion{Key: c.Key[:], Request: string(c.RequestID), Outcome: int32(c.Outcome)}
		if c.Answer != nil {
			k.Answer = &wire.KeyAnswer{Status: int32(c.Answer.Status), ContentType: c.Answer.ContentType, Body: c.Answer.Body}
		}
		w.Completions = append(w.Completions, k)
	}
	data, err := proto.Marshal(w)
	if err != nil {
		return nil, &KeyGroupError{Err: err}
	}
	return data, nil
}

// DecodeKeyGroup returns the claims and completions in the data of a record.
// Entries whose key has the wrong length are left out.
func DecodeKeyGroup(data []byte) (deduplicator.Batch, error) {
	var w wire.KeyGroup
	if err := proto.Unmarshal(data, &w); err != nil {
		return deduplicator.Batch{}, &KeyGroupError{Err: err}
	}
	var group deduplicator.Batch
	for _, c := range w.GetClaims() {
		if len(c.GetKey()) != len(deduplicator.Key{}) {
			continue
		}
		group.Claims = append(group.Claims, deduplicator.Claim{
			Key: deduplicator.Key(c.GetKey()), RequestID: fuchsiapitch.RequestID(c.GetRequest()), BodyHash: c.GetBodyHash(),
			ClaimedAt: time.UnixMilli(c.GetStampMs()), RequestExpiresAt: time.UnixMilli(c.GetExpiryMs()),
		})
	}
	for _, c := range w.GetCompletions() {
		if len(c.GetKey()) != len(deduplicator.Key{}) {
			continue
		}
		k := deduplicator.Completion{
			Key: deduplicator.Key(c.GetKey()), RequestID: fuchsiapitch.RequestID(c.GetRequest()), Outcome: fuchsiapitch.Outcome(c.GetOutcome()),
		}
		if a := c.GetAnswer(); a != nil {
			k.Answer = &deduplicator.Answer{Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody()}
		}
		group.Completions = append(group.Completions, k)
	}
	return group, nil
}
