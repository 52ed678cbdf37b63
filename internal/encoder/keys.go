package encoder

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/deduplicator"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
)

// KeyRecordError reports a record of a stream of idempotency keys that cannot be
// encoded or decoded.
type KeyRecordError struct {
	// Err is the error of the codec.
	Err error
}

// Error implements error.
func (e *KeyRecordError) Error() string { return "idempotency key record: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *KeyRecordError) Unwrap() error { return e.Err }

// EncodeKeyRecord returns the data of a record with a batch of claims and
// completions. It returns a KeyRecordError if the batch cannot be encoded.
func EncodeKeyRecord(batch deduplicator.Batch) ([]byte, error) {
	w := &wire.KeyGroup{}
	for _, c := range batch.Claims {
		w.Claims = append(w.Claims, &wire.KeyClaim{
			Key: c.Key[:], Request: string(c.RequestID), BodyHash: c.BodyHash,
			StampMs: c.ClaimedAt.UnixMilli(), ExpiryMs: c.RequestExpiresAt.UnixMilli(),
		})
	}
	for _, c := range batch.Completions {
		k := &wire.KeyCompletion{Key: c.Key[:], Request: string(c.RequestID), Outcome: int32(c.Outcome)}
		if c.Response != nil {
			k.Answer = &wire.KeyAnswer{Status: int32(c.Response.Status), ContentType: c.Response.ContentType, Body: c.Response.Body}
		}
		w.Completions = append(w.Completions, k)
	}
	data, err := proto.Marshal(w)
	if err != nil {
		return nil, &KeyRecordError{Err: err}
	}
	return data, nil
}

// DecodeKeyRecord returns the claims and completions in the data of a record. It
// returns a KeyRecordError if the data is malformed. Entries whose key has the wrong
// length are left out.
func DecodeKeyRecord(data []byte) (deduplicator.Batch, error) {
	var w wire.KeyGroup
	if err := proto.Unmarshal(data, &w); err != nil {
		return deduplicator.Batch{}, &KeyRecordError{Err: err}
	}
	var batch deduplicator.Batch
	for _, c := range w.GetClaims() {
		if len(c.GetKey()) != len(deduplicator.Key{}) {
			continue
		}
		batch.Claims = append(batch.Claims, deduplicator.Claim{
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
			k.Response = &deduplicator.Response{Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody()}
		}
		batch.Completions = append(batch.Completions, k)
	}
	return batch, nil
}
