package log

import "time"

// Record is one record of a stream.
type Record struct {
	// ID is the identifier that the writer gave it.
	ID string
	// Offset is its place in the stream, from 1.
	Offset uint64
	// Data is what was written.
	Data []byte
}

// Page is a part of a stream.
type Page struct {
	// Records are those from the offset that was asked for.
	Records []Record
	// Oldest is the offset of the oldest record that is kept, Next that of the
	// next one to be appended.
	Oldest, Next uint64
	// Changed is closed at the next append.
	Changed <-chan struct{}
}

// Append adds a record to a stream and returns its offset.
func (l *Log) Append(stream, id string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.append(stream, entry{id: id, data: data, appended: time.Now()})
}

// Read returns at most limit records of a stream from an offset on. A page is
// empty for an offset that is older than the oldest.
func (l *Log) Read(stream string, from, limit uint64) Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	l.expire(s, time.Now())
	page := Page{Oldest: s.oldest, Next: s.next(), Changed: s.changed}
	if from < s.oldest {
		return page
	}
	for ; from < s.next() && uint64(len(page.Records)) < limit; from++ {
		e := s.entries[from-s.oldest]
		page.Records = append(page.Records, Record{ID: e.id, Offset: from, Data: e.data})
	}
	return page
}

// LosesAnswer reports whether the answer to an append that has just been made is
// lost, as LoseAppendAnswers asked.
func (l *Log) LosesAnswer() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lose == 0 {
		return false
	}
	l.lose--
	return true
}

func (l *Log) isOut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out
}
