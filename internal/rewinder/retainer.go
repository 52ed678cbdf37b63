package rewinder

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

const (
	// Grace is how long after the store has gone back the records of the topic that others
	// write may be missing or old. They are written again within two seconds.
	Grace = 2500 * time.Millisecond
	// memory is how long a deletion is remembered, and how long ago the topic may have been read
	// for its records to be retained. It exceeds the age of the copy from which the store returns.
	memory = 30 * time.Second
)

// Retainer keeps what a host knows of a topic that others write while the store has gone back and
// its records have not been written again. The zero value is ready for use.
type Retainer struct {
	known map[string]knownRecord
	// withheld holds what the store shows instead of the records that are retained: a record
	// without a value if the key is missing.
	withheld   map[string]platform.Record
	graceUntil time.Duration
	// readAt is when the topic was last read.
	readAt time.Duration
}

// knownRecord is the newest known record of a key, and when it became known.
type knownRecord struct {
	platform.Record
	knownSince time.Duration
}

// Append takes records that were appended to the topic. They are newer than all before.
func (r *Retainer) Append(now time.Duration, records []platform.Record) {
	r.readAt = now
	if r.known == nil {
		r.known = make(map[string]knownRecord)
	}
	for _, record := range records {
		r.known[record.Key] = knownRecord{record, now}
		delete(r.withheld, record.Key)
	}
	for key, k := range r.known {
		if k.IsTombstone() && now-k.knownSince > memory {
			delete(r.known, key)
		}
	}
}

// Snapshot takes the complete state of the topic and returns what the host believes instead. If
// hasGoneBack is true, the offsets of earlier records are of an earlier era. A record stays known
// for the grace period if the snapshot lacks it or has one with a lower offset, which may be from
// the copy. The offsets of the result have no order. A second snapshot during the grace period does
// not prolong it.
func (r *Retainer) Snapshot(now time.Duration, records []platform.Record, hasGoneBack bool) []platform.Record {
	if hasGoneBack && now-r.readAt < memory {
		r.graceUntil = now + Grace
	}
	previous := r.known
	r.known, r.withheld = nil, make(map[string]platform.Record)
	r.Append(now, records)
	if now >= r.graceUntil {
		return records
	}
	for key, k := range previous {
		shown, ok := r.known[key]
		switch {
		case ok && (shown.Offset >= k.Offset || bytes.Equal(shown.Value, k.Value)):
			continue
		case !ok && !k.IsTombstone():
			r.withheld[key] = platform.Record{Key: key}
		case ok:
			r.withheld[key] = shown.Record
		}
		r.known[key] = k
	}
	var believed []platform.Record
	for _, k := range r.known {
		if !k.IsTombstone() {
			believed = append(believed, k.Record)
		}
	}
	slices.SortFunc(believed, func(a, b platform.Record) int { return cmp.Compare(a.Key, b.Key) })
	return believed
}

// IsRetaining reports whether records are retained.
func (r *Retainer) IsRetaining() bool { return len(r.withheld) > 0 }

// Release returns the records that replace the retained ones once the grace period is over, nil
// before.
func (r *Retainer) Release(now time.Duration) []platform.Record {
	if now < r.graceUntil || len(r.withheld) == 0 {
		return nil
	}
	released := make([]platform.Record, 0, len(r.withheld))
	for _, record := range r.withheld {
		released = append(released, record)
	}
	slices.SortFunc(released, func(a, b platform.Record) int { return cmp.Compare(a.Key, b.Key) })
	r.Append(now, released)
	return released
}
