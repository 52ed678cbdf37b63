package appender

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// fakeStore follows the rules of producers and loses answers.
type fakeStore struct {
	records []platform.AppendRequest
	offsets map[int64]int64
	epoch   int64
	next    int64
	// loseAnswer and late have the next append executed without an answer, at
	// once or when asked to.
	loseAnswer, late, refuse bool
	delayed                  []platform.AppendRequest
}

var errLost = &fuchsiapitch.UnavailableError{System: "store", Action: "append", Err: errors.New("no answer")}

func (s *fakeStore) Append(_ context.Context, a platform.AppendRequest) (int64, error) {
	if s.refuse {
		s.refuse = false
		return 0, &platform.StatusError{Action: "append", Status: http.StatusServiceUnavailable}
	}
	if s.late {
		s.late = false
		s.delayed = append(s.delayed, a)
		return 0, errLost
	}
	offset, err := s.execute(a)
	if s.loseAnswer {
		s.loseAnswer = false
		return 0, errLost
	}
	return offset, err
}

func (s *fakeStore) execute(a platform.AppendRequest) (int64, error) {
	switch {
	case a.Epoch < s.epoch:
		return 0, &platform.FencedError{Topic: a.Topic}
	case a.Epoch > s.epoch:
		s.epoch, s.next, s.offsets = a.Epoch, a.Sequence, make(map[int64]int64)
	}
	if offset, ok := s.offsets[a.Sequence]; ok && a.Sequence < s.next {
		return offset, nil
	}
	if a.Sequence != s.next {
		return 0, &platform.FencedError{Topic: a.Topic}
	}
	if a.ExpectedEnd >= 0 && a.ExpectedEnd != int64(len(s.records)) {
		return 0, &platform.PreconditionError{Topic: a.Topic, End: int64(len(s.records))}
	}
	s.records = append(s.records, a)
	s.offsets[a.Sequence] = int64(len(s.records) - 1)
	s.next++
	return int64(len(s.records) - 1), nil
}

func (s *fakeStore) runDelayed() {
	for _, a := range s.delayed {
		_, _ = s.execute(a)
	}
}

func assertAppend(t *testing.T, a *Appender, value string, at, want int64) {
	t.Helper()
	got, err := a.Append(t.Context(), "key", []byte(value), at)
	if err != nil || got != want {
		t.Errorf("got offset %d and error %v, want %d", got, err, want)
	}
}

func assertLost(t *testing.T, a *Appender, value string, at int64) {
	t.Helper()
	if _, err := a.Append(t.Context(), "key", []byte(value), at); !errors.Is(err, errLost) {
		t.Errorf("got error %v, want %v", err, errLost)
	}
}

func assertRecords(t *testing.T, s *fakeStore, want int) {
	t.Helper()
	if got := len(s.records); got != want {
		t.Errorf("got %d records, want %d", got, want)
	}
}

func TestAppend(t *testing.T) {
	t.Run("a repeat after a lost answer enters the record once", func(t *testing.T) {
		s := &fakeStore{}
		a := New(s, "topic", "host", 100)
		assertAppend(t, a, "one", -1, 0)
		s.loseAnswer = true
		assertLost(t, a, "two", 1)
		assertAppend(t, a, "two", 1, 1)
		assertAppend(t, a, "three", 2, 2)
		assertRecords(t, s, 3)
	})
	t.Run("another record keeps out one that the store holds back", func(t *testing.T) {
		s := &fakeStore{}
		a := New(s, "topic", "host", 100)
		s.late = true
		assertLost(t, a, "old", -1)
		assertAppend(t, a, "new", -1, 0)
		s.runDelayed()
		assertRecords(t, s, 1)
	})
	t.Run("a repeat that is refused leaves the first try open", func(t *testing.T) {
		s := &fakeStore{}
		a := New(s, "topic", "host", 100)
		s.late = true
		assertLost(t, a, "old", -1)
		s.refuse = true
		if _, err := a.Append(t.Context(), "key", []byte("old"), -1); err == nil {
			t.Error("got no error from a store that refuses, want one")
		}
		s.runDelayed()
		assertAppend(t, a, "new", -1, 1)
		assertRecords(t, s, 2)
	})
	t.Run("what an earlier life left is kept out", func(t *testing.T) {
		s := &fakeStore{}
		s.late = true
		assertLost(t, New(s, "topic", "host", 100), "old", -1)
		assertAppend(t, New(s, "topic", "host", 200), "new", -1, 0)
		s.runDelayed()
		assertRecords(t, s, 1)
	})
	t.Run("an earlier life began by a clock that was ahead", func(t *testing.T) {
		s := &fakeStore{}
		assertAppend(t, New(s, "topic", "host", 4000), "old", -1, 0)
		assertAppend(t, New(s, "topic", "host", 2000), "new", -1, 1)
	})
	t.Run("a condition that does not hold is reported", func(t *testing.T) {
		s := &fakeStore{}
		a := New(s, "topic", "host", 100)
		var condition *platform.PreconditionError
		if _, err := a.Append(t.Context(), "key", nil, 7); !errors.As(err, &condition) || condition.End != 0 {
			t.Errorf("got error %v, want a condition error with the end 0", err)
		}
		assertAppend(t, a, "one", 0, 0)
	})
}
