package log

import "time"

// Record is one record of a stream.
type Record struct {
	// ID is the identifier that the writer assigned.
	ID string
	// Offset is the position in the stream. The first record has offset 1.
	Offset uint64
	// Data is the content.
	Data []byte
}

// Page is the result of a read.
type Page struct {
	// Records are the records from the requested offset on.
	Records []Record
	// OldestOffset is the offset of the oldest retained record, NextOffset that of the
	// next record to be appended.
	OldestOffset, NextOffset uint64
	// Appended is closed at the next append.
	Appended <-chan struct{}
}

// Append adds a record to a stream and returns its offset.
func (l *Log) Append(stream, id string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.append(stream, entry{id: id, data: data, appendedAt: time.Now()})
}

// Read returns at most limit records of a stream from an offset on. The page has no
// records if the offset is older than the oldest retained record.
func (l *Log) Read(stream string, from, limit uint64) Page {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	l.applyRetention(s, time.Now())
	page := Page{OldestOffset: s.oldestOffset, NextOffset: s.nextOffset(), Appended: s.appended}
	if from < s.oldestOffset {
		return page
	}
	for ; from < s.nextOffset() && uint64(len(page.Records)) < limit; from++ {
		e := s.entries[from-s.oldestOffset]
		page.Records = append(page.Records, Record{ID: e.id, Offset: from, Data: e.data})
	}
	return page
}

// ConsumeAppendResponseLoss reports whether the response to the append that was just
// made is to be lost, and decrements the counter that LoseAppendResponses set.
func (l *Log) ConsumeAppendResponseLoss() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.appendResponsesToLose == 0 {
		return false
	}
	l.appendResponsesToLose--
	return true
}

func (l *Log) isInOutage() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inOutage
}
