package encoder

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/configurer"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
)

// RecordError reports a log record, or the content of a document in it, that cannot
// be encoded or decoded.
type RecordError struct {
	// Detail describes the problem.
	Detail string
	// Err is the underlying error, if any.
	Err error
}

// Error implements error.
func (e *RecordError) Error() string { return fmt.Sprintf("log record: %s: %v", e.Detail, e.Err) }

// Unwrap returns the underlying error.
func (e *RecordError) Unwrap() error { return e.Err }

// deterministic marshals equal messages to equal bytes.
var deterministic = proto.MarshalOptions{Deterministic: true}

// EncodeConfigurationRecord returns the data of a record of the configuration
// stream. It returns a RecordError if the body cannot be encoded.
func EncodeConfigurationRecord(body configurer.RecordBody) ([]byte, error) {
	w := &wire.ConfigurationRecord{}
	switch b := body.(type) {
	case configurer.Publication:
		w.Body = &wire.ConfigurationRecord_Publication{Publication: encodePublication(b)}
	case configurer.Snapshot:
		w.Body = &wire.ConfigurationRecord_Checkpoint{Checkpoint: EncodeConfigurationSnapshot(b)}
	}
	data, err := deterministic.Marshal(w)
	if err != nil {
		return nil, &RecordError{Detail: "cannot be encoded", Err: err}
	}
	return data, nil
}

// DecodeConfigurationRecord returns the body of a record of the configuration
// stream. It returns a RecordError if the data is malformed or its type is unknown.
func DecodeConfigurationRecord(data []byte) (configurer.RecordBody, error) {
	w := &wire.ConfigurationRecord{}
	if err := proto.Unmarshal(data, w); err != nil {
		return nil, &RecordError{Detail: "cannot be decoded", Err: err}
	}
	switch b := w.GetBody().(type) {
	case *wire.ConfigurationRecord_Publication:
		return decodePublication(b.Publication), nil
	case *wire.ConfigurationRecord_Checkpoint:
		return DecodeConfigurationSnapshot(b.Checkpoint), nil
	}
	return nil, &RecordError{Detail: "unknown body type"}
}

func encodePublication(p configurer.Publication) *wire.Publication {
	w := &wire.Publication{Publisher: p.Publisher}
	for _, c := range p.Changes {
		w.Changes = append(w.Changes, &wire.DocumentChange{
			Kind: string(c.Key.Kind()), Name: c.Key.Name(), Parent: uint64(c.ParentRevision), Removed: c.Removed, Content: c.Content,
		})
	}
	for _, g := range p.Preconditions {
		w.Guards = append(w.Guards, &wire.KindGuard{Kind: string(g.Kind), Revision: uint64(g.LatestRevision)})
	}
	return w
}

func decodePublication(w *wire.Publication) configurer.Publication {
	p := configurer.Publication{Publisher: w.GetPublisher()}
	for _, c := range w.GetChanges() {
		kind := configurer.Kind(c.GetKind())
		p.Changes = append(p.Changes, configurer.Change{
			Key: configurer.NewKey(kind, c.GetName()), ParentRevision: fuchsiapitch.Offset(c.GetParent()),
			Removed: c.GetRemoved(), Content: c.GetContent(), Document: DecodeDocument(kind, c.GetContent()),
		})
	}
	for _, g := range w.GetGuards() {
		p.Preconditions = append(p.Preconditions, configurer.Precondition{
			Kind: configurer.Kind(g.GetKind()), LatestRevision: fuchsiapitch.Offset(g.GetRevision()),
		})
	}
	return p
}

// EncodeConfigurationSnapshot returns the wire message for a snapshot of the
// configuration.
func EncodeConfigurationSnapshot(s configurer.Snapshot) *wire.ConfigurationSnapshot {
	w := &wire.ConfigurationSnapshot{Offset: uint64(s.Offset), Since: uint64(s.Since), Hash: s.Hash}
	for _, e := range s.Entries {
		w.Documents = append(w.Documents, &wire.DocumentState{
			Kind: string(e.Key.Kind()), Name: e.Key.Name(), Revision: uint64(e.Revision), Removed: e.Removed,
			Publication: string(e.PublicationID), Publisher: e.Publisher, Content: e.Content,
		})
	}
	for _, o := range s.Outcomes {
		w.Outcomes = append(w.Outcomes, &wire.PublicationOutcome{
			Publication: string(o.PublicationID), Offset: uint64(o.Offset), Accepted: o.Accepted, Loss: encodeConflict(o),
		})
	}
	return w
}

func encodeConflict(o configurer.PublicationOutcome) *wire.PublicationLoss {
	if o.Accepted {
		return nil
	}
	return &wire.PublicationLoss{
		Kind: string(o.Conflict.Key.Kind()), Name: o.Conflict.Key.Name(), Revision: uint64(o.Conflict.CurrentRevision),
		Publication: string(o.Conflict.PublicationID), Publisher: o.Conflict.Publisher,
	}
}

// DecodeConfigurationSnapshot returns the snapshot of the configuration in a wire
// message.
func DecodeConfigurationSnapshot(w *wire.ConfigurationSnapshot) configurer.Snapshot {
	s := configurer.Snapshot{
		Offset: fuchsiapitch.Offset(w.GetOffset()), Since: fuchsiapitch.Offset(w.GetSince()), Hash: w.GetHash(),
	}
	for _, d := range w.GetDocuments() {
		kind := configurer.Kind(d.GetKind())
		s.Entries = append(s.Entries, configurer.Entry{
			Key: configurer.NewKey(kind, d.GetName()), Revision: fuchsiapitch.Offset(d.GetRevision()),
			Removed: d.GetRemoved(), PublicationID: fuchsiapitch.RecordID(d.GetPublication()),
			Publisher: d.GetPublisher(), Content: d.GetContent(), Document: DecodeDocument(kind, d.GetContent()),
		})
	}
	for _, o := range w.GetOutcomes() {
		s.Outcomes = append(s.Outcomes, configurer.PublicationOutcome{
			PublicationID: fuchsiapitch.RecordID(o.GetPublication()), Offset: fuchsiapitch.Offset(o.GetOffset()),
			Accepted: o.GetAccepted(), Conflict: decodeConflict(o.GetLoss()),
		})
	}
	return s
}

func decodeConflict(w *wire.PublicationLoss) configurer.Conflict {
	return configurer.Conflict{
		Key:             configurer.NewKey(configurer.Kind(w.GetKind()), w.GetName()),
		CurrentRevision: fuchsiapitch.Offset(w.GetRevision()),
		PublicationID:   fuchsiapitch.RecordID(w.GetPublication()), Publisher: w.GetPublisher(),
	}
}
