package appender

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// fakeStore implements the store's rules for producer epochs and sequence numbers,
// and can lose responses, delay appends and reject them.
type fakeStore struct {
	records      []platform.AppendRequest
	offsets      map[int64]int64
	epoch        int64
	nextSequence int64
	// If loseNextResponse is set, the next append is executed but its response is
	// lost. If delayNext is set, the next append gets no response and is executed
	// only by executeDelayed. If rejectNext is set, it is rejected and not executed.
	loseNextResponse, delayNext, rejectNext bool
	delayedAppends                          []platform.AppendRequest
}

var errNoResponse = &fuchsiapitch.UnavailableError{System: "store", Action: "append", Err: errors.New("no answer")}

func (s *fakeStore) Append(_ context.Context, a platform.AppendRequest) (int64, error) {
	if s.rejectNext {
		s.rejectNext = false
		return 0, &platform.StatusError{Action: "append", Status: http.StatusServiceUnavailable}
	}
	if s.delayNext {
		s.delayNext = false
		s.delayedAppends = append(s.delayedAppends, a)
		return 0, errNoResponse
	}
	offset, err := s.execute(a)
	if s.loseNextResponse {
		s.loseNextResponse = false
		return 0, errNoResponse
	}
	return offset, err
}

func (s *fakeStore) execute(a platform.AppendRequest) (int64, error) {
	switch {
	case a.Epoch < s.epoch:
		return 0, &platform.FencedError{Topic: a.Topic}
	case a.Epoch > s.epoch:
		s.epoch, s.nextSequence, s.offsets = a.Epoch, a.Sequence, make(map[int64]int64)
	}
	if offset, ok := s.offsets[a.Sequence]; ok && a.Sequence < s.nextSequence {
		return offset, nil
	}
	if a.Sequence != s.nextSequence {
		return 0, &platform.FencedError{Topic: a.Topic}
	}
	if a.ExpectedEnd >= 0 && a.ExpectedEnd != int64(len(s.records)) {
		return 0, &platform.PreconditionError{Topic: a.Topic, TopicEnd: int64(len(s.records))}
	}
	s.records = append(s.records, a)
	s.offsets[a.Sequence] = int64(len(s.records) - 1)
	s.nextSequence++
	return int64(len(s.records) - 1), nil
}

func (s *fakeStore) executeDelayed() {
	for _, a := range s.delayedAppends {
		_, _ = s.execute(a)
	}
}

func assertAppend(t *testing.T, a *Appender, value string, expectedEnd, want int64) {
	t.Helper()
	got, err := a.Append(t.Context(), "key", []byte(value), expectedEnd)
	if err != nil || got != want {
		t.Errorf("got offset %d and error %v, want %d", got, err, want)
	}
}

func assertNoResponse(t *testing.T, a *Appender, value string, expectedEnd int64) {
	t.Helper()
	if _, err := a.Append(t.Context(), "key", []byte(value), expectedEnd); !errors.Is(err, errNoResponse) {
		t.Errorf("got error %v, want %v", err, errNoResponse)
	}
}

func assertRecords(t *testing.T, s *fakeStore, want int) {
	t.Helper()
	if got := len(s.records); got != want {
		t.Errorf("got %d records, want %d", got, want)
	}
}

// Lost responses, delayed appends and rejections neither store a record twice nor let
// the store execute an append after a later one of the same producer.
func TestAppend(t *testing.T) {
	t.Run("a retry after a lost response stores the record once", func(t *testing.T) {
		s := &fakeStore{}
		a := New(s, "topic", "host", 100)
		assertAppend(t, a, "one", -1, 0)
		s.loseNextResponse = true
		assertNoResponse(t, a, "two", 1)
		assertAppend(t, a, "two", 1, 1)
		assertAppend(t, a, "three", 2, 2)
		assertRecords(t, s, 3)
	})
	t.Run("appending another record fences a delayed append", func(t *testing.T) {
		s := &fakeStore{}
		a := New(s, "topic", "host", 100)
		s.delayNext = true
		assertNoResponse(t, a, "old", -1)
		assertAppend(t, a, "new", -1, 0)
		s.executeDelayed()
		assertRecords(t, s, 1)
	})
	t.Run("a delayed append may still be executed after its retry is rejected", func(t *testing.T) {
		s := &fakeStore{}
		a := New(s, "topic", "host", 100)
		s.delayNext = true
		assertNoResponse(t, a, "old", -1)
		s.rejectNext = true
		if _, err := a.Append(t.Context(), "key", []byte("old"), -1); err == nil {
			t.Error("got no error from a store that rejects the append, want one")
		}
		s.executeDelayed()
		assertAppend(t, a, "new", -1, 1)
		assertRecords(t, s, 2)
	})
	t.Run("a delayed append of an earlier process is fenced", func(t *testing.T) {
		s := &fakeStore{}
		s.delayNext = true
		assertNoResponse(t, New(s, "topic", "host", 100), "old", -1)
		assertAppend(t, New(s, "topic", "host", 200), "new", -1, 0)
		s.executeDelayed()
		assertRecords(t, s, 1)
	})
	t.Run("a process with a lower epoch than an earlier one can append", func(t *testing.T) {
		s := &fakeStore{}
		assertAppend(t, New(s, "topic", "host", 4000), "old", -1, 0)
		assertAppend(t, New(s, "topic", "host", 2000), "new", -1, 1)
	})
	t.Run("a condition that does not hold is reported", func(t *testing.T) {
		s := &fakeStore{}
		a := New(s, "topic", "host", 100)
		var precondition *platform.PreconditionError
		if _, err := a.Append(t.Context(), "key", nil, 7); !errors.As(err, &precondition) || precondition.TopicEnd != 0 {
			t.Errorf("got error %v, want a PreconditionError with end 0", err)
		}
		assertAppend(t, a, "one", 0, 0)
	})
}
