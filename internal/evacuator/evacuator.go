// Package evacuator tracks which data centres the operator has evacuated. It is pure: it
// performs no I/O, starts no goroutine and reads no clock.
//
// What is known of a data centre is ordered by its position in the operator's topic, so
// that news may arrive in any order, from the store or from other hosts.
package evacuator

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fuchsiapitch/fuchsiapitch"
)

// maxAnnounced is the number of data centres in an announcement.
const maxAnnounced = 32

// Version is a position in the operator's topic. It is a plain record.
type Version struct {
	// Era is the number of times that the store has gone back to an earlier state.
	Era int64
	// Offset is the number of records up to the position.
	Offset int64
}

// Compare orders versions by era and offset.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Era, o.Era), cmp.Compare(v.Offset, o.Offset))
}

// News is what the operator's topic says of one data centre. It is a plain record.
type News struct {
	DataCentre fuchsiapitch.DataCentreName
	// Evacuated is true if nothing may be sent to the servers of the data centre, false if it
	// has been taken back.
	Evacuated bool
	// Version is the position up to which this holds.
	Version Version
}

// Evacuator holds what one host knows. It is not safe for concurrent use.
type Evacuator struct {
	known map[fuchsiapitch.DataCentreName]News
	// readUntil is the position up to which this host has read the topic itself. A data
	// centre that is not known was not evacuated there.
	readUntil Version
}

// New returns an Evacuator that knows of no evacuation.
func New() *Evacuator {
	return &Evacuator{known: make(map[fuchsiapitch.DataCentreName]News)}
}

// ReadHistory processes records that follow what was read before, up to a position, whatever
// their own positions are: what is retained while a store goes back is withdrawn by a record
// without one. The absence of a data centre says nothing. It returns the news that changed what
// is in force.
func (e *Evacuator) ReadHistory(news []News, end Version) []News {
	next := Version{Era: e.readUntil.Era, Offset: e.readUntil.Offset + 1}
	var changes []News
	for _, n := range news {
		if next.Era == end.Era && n.Version.Compare(next) < 0 {
			n.Version = next
		}
		changes = append(changes, e.Hear([]News{n})...)
	}
	e.advance(end)
	return changes
}

// ReadSnapshot processes the newest record of every data centre up to a position. A data
// centre that is absent has been taken back, unless it was evacuated later or in an earlier
// era: a store that has gone back may have lost the request. It returns the news that
// changed what is in force.
func (e *Evacuator) ReadSnapshot(news []News, end Version) []News {
	present := make(map[fuchsiapitch.DataCentreName]bool, len(news))
	for _, n := range news {
		present[n.DataCentre] = true
	}
	all := make([]News, 0, len(news))
	for _, n := range news {
		if n.Version.Compare(end) > 0 {
			// It is retained from an earlier era, in which the offset meant something else.
			n.Version.Offset = 0
		}
		all = append(all, n)
	}
	for _, n := range e.News() {
		if n.Evacuated && !present[n.DataCentre] && n.Version.Era == end.Era {
			all = append(all, News{DataCentre: n.DataCentre, Version: end})
		}
	}
	changes := e.Hear(all)
	e.advance(end)
	return changes
}

// Hear processes what another host knows. Of two at the same position, an evacuation counts. It returns the news that changed what is in force.
func (e *Evacuator) Hear(news []News) []News {
	var changes []News
	for _, n := range news {
		known, isKnown := e.known[n.DataCentre]
		switch {
		case isKnown && n.Version.Compare(known.Version) < 0:
			continue
		case isKnown && n.Version == known.Version && !n.Evacuated:
			continue
		case !isKnown && n.Evacuated && n.Version.Era == e.readUntil.Era && n.Version.Compare(e.readUntil) <= 0:
			// The request has been withdrawn since, and the sender does not know it.
			n = News{DataCentre: n.DataCentre, Version: e.readUntil}
		}
		e.known[n.DataCentre] = n
		if n.Evacuated != known.Evacuated {
			changes = append(changes, n)
		}
	}
	return changes
}

func (e *Evacuator) advance(end Version) {
	if end.Compare(e.readUntil) > 0 {
		e.readUntil = end
	}
}

// IsEvacuated reports whether nothing may be sent to the servers of a data centre.
func (e *Evacuator) IsEvacuated(name fuchsiapitch.DataCentreName) bool {
	return e.known[name].Evacuated
}

// Any reports whether any data centre is evacuated.
func (e *Evacuator) Any() bool {
	for _, n := range e.known {
		if n.Evacuated {
			return true
		}
	}
	return false
}

// News returns what is known, for other hosts, sorted by data centre. If there is too much,
// the evacuated data centres come first, then the latest news.
func (e *Evacuator) News() []News {
	if len(e.known) == 0 {
		return nil
	}
	news := slices.Collect(maps.Values(e.known))
	slices.SortFunc(news, func(a, b News) int {
		if a.Evacuated != b.Evacuated {
			if a.Evacuated {
				return -1
			}
			return 1
		}
		return cmp.Or(b.Version.Compare(a.Version), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	news = news[:min(len(news), maxAnnounced)]
	slices.SortFunc(news, func(a, b News) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return news
}
