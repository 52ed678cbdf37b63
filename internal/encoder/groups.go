package encoder

import (
	"google.golang.org/protobuf/proto"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
	"github.com/fuchsiapitch/fuchsiapitch/internal/grouper"
)

// EncodeGroupRecord returns the log record that holds a record of the group stream.
// It returns an error if a name is not valid UTF-8.
func EncodeGroupRecord(r grouper.Record) (fuchsiapitch.Record, error) {
	w := &wire.GroupRecord{
		Kind: uint32(r.Kind), Host: string(r.Host), Incarnation: r.Incarnation,
		Term: uint64(r.Term), Sequence: r.Sequence, Read: uint64(r.ReadOffset),
	}
	for _, c := range r.Changes {
		w.Changes = append(w.Changes, &wire.GroupChange{
			Kind: uint32(c.Kind), Group: encodeGroup(c.Group),
			Host: string(c.Host), Service: string(c.Service), Version: c.Version,
		})
	}
	if r.CheckpointState != nil {
		w.State = encodeGroupSnapshot(*r.CheckpointState)
	}
	data, err := proto.Marshal(w)
	return fuchsiapitch.NewRecord(r.ID, data), err
}

// DecodeGroupRecord returns the record of the group stream in a log record. It
// returns an error if the data is malformed.
func DecodeGroupRecord(record fuchsiapitch.Record) (grouper.Record, error) {
	w := new(wire.GroupRecord)
	if err := proto.Unmarshal(record.Data(), w); err != nil {
		return grouper.Record{}, err
	}
	r := grouper.Record{
		ID: record.ID(), Kind: grouper.RecordKind(w.GetKind()),
		Host: fuchsiapitch.HostID(w.GetHost()), Incarnation: w.GetIncarnation(),
		Term: fuchsiapitch.Term(w.GetTerm()), Sequence: w.GetSequence(), ReadOffset: fuchsiapitch.Offset(w.GetRead()),
	}
	for _, c := range w.GetChanges() {
		r.Changes = append(r.Changes, grouper.Change{
			Kind: grouper.ChangeKind(c.GetKind()), Group: decodeGroup(c.GetGroup()),
			Host: fuchsiapitch.HostID(c.GetHost()), Service: fuchsiapitch.ServiceName(c.GetService()), Version: c.GetVersion(),
		})
	}
	if w.GetState() != nil {
		r.CheckpointState = decodeGroupSnapshot(w.GetState())
	}
	return r, nil
}

func encodeGroup(g grouper.Group) *wire.Group {
	w := &wire.Group{
		Id: string(g.ID), Service: string(g.Service), Model: g.Model, Version: g.Version, Adapters: g.Adapters,
		Term: uint64(g.FencingToken.Term()), Sequence: g.FencingToken.Sequence(), Draining: g.Draining, Previous: g.PreviousVersion,
	}
	for _, m := range g.Members {
		w.Members = append(w.Members, string(m))
	}
	return w
}

func decodeGroup(w *wire.Group) grouper.Group {
	g := grouper.Group{
		ID: fuchsiapitch.GroupID(w.GetId()), Service: fuchsiapitch.ServiceName(w.GetService()),
		Model: w.GetModel(), Version: w.GetVersion(), Adapters: w.GetAdapters(),
		FencingToken: fuchsiapitch.NewFencingToken(fuchsiapitch.Term(w.GetTerm()), w.GetSequence()),
		Draining:     w.GetDraining(), PreviousVersion: w.GetPrevious(),
	}
	for _, m := range w.GetMembers() {
		g.Members = append(g.Members, fuchsiapitch.ServerID(m))
	}
	return g
}

func encodeGroupSnapshot(s grouper.Snapshot) *wire.GroupSnapshot {
	w := &wire.GroupSnapshot{
		Offset: uint64(s.Offset), Term: uint64(s.Term), Holder: string(s.Holder), Incarnation: s.HolderIncarnation,
		Sequence: s.Sequence, Acknowledged: uint64(s.AcknowledgedOffset), Released: s.LeaseReleased,
	}
	for _, g := range s.Groups {
		w.Groups = append(w.Groups, encodeGroup(g))
	}
	for _, e := range s.Electors {
		w.Electors = append(w.Electors, &wire.Elector{Host: string(e.Host), Incarnation: e.Incarnation, Joined: uint64(e.JoinOffset), Since: uint64(e.FirstJoinOffset)})
	}
	for _, r := range s.Rejections {
		w.Rejections = append(w.Rejections, &wire.Rejection{Service: string(r.Service), Version: r.Version})
	}
	return w
}

func decodeGroupSnapshot(w *wire.GroupSnapshot) *grouper.Snapshot {
	s := &grouper.Snapshot{
		Offset: fuchsiapitch.Offset(w.GetOffset()), Term: fuchsiapitch.Term(w.GetTerm()),
		Holder: fuchsiapitch.HostID(w.GetHolder()), HolderIncarnation: w.GetIncarnation(),
		Sequence: w.GetSequence(), AcknowledgedOffset: fuchsiapitch.Offset(w.GetAcknowledged()), LeaseReleased: w.GetReleased(),
	}
	for _, g := range w.GetGroups() {
		s.Groups = append(s.Groups, decodeGroup(g))
	}
	for _, e := range w.GetElectors() {
		s.Electors = append(s.Electors, grouper.Elector{
			Host: fuchsiapitch.HostID(e.GetHost()), Incarnation: e.GetIncarnation(), JoinOffset: fuchsiapitch.Offset(e.GetJoined()),
			FirstJoinOffset: fuchsiapitch.Offset(e.GetSince()),
		})
	}
	for _, r := range w.GetRejections() {
		s.Rejections = append(s.Rejections, grouper.Rejection{Service: fuchsiapitch.ServiceName(r.GetService()), Version: r.GetVersion()})
	}
	return s
}
