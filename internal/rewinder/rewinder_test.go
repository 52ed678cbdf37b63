package rewinder

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// Claims and offsets of a later era are later, however far the store has gone back.
func TestNumbersAreOrderedOverEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Int64Range(0, maxEra-1).Draw(t, "era")
		earlier, later := rapid.Int64Range(0, maxClaimOffset).Draw(t, "earlier"), rapid.Int64Range(0, maxClaimOffset).Draw(t, "later")
		if got, limit := ClaimNumber(era, earlier), ClaimNumber(era+1, later); got >= limit || got <= 0 {
			t.Errorf("got claim %d, want it between 0 and %d", got, limit)
		}
		if got, limit := Position(era, earlier), Position(era+1, later); got >= limit {
			t.Errorf("got position %d, want it below %d", got, limit)
		}
	})
}

func TestOutOfRangeClaimHasNoNumber(t *testing.T) {
	for _, position := range [][2]int64{{-1, 0}, {maxEra + 1, 0}, {1, maxClaimOffset + 1}, {0, -1}} {
		if got := ClaimNumber(position[0], position[1]); got != 0 {
			t.Errorf("got number %d for %v, want 0", got, position)
		}
	}
}

func TestWatchCountsRises(t *testing.T) {
	var w Watch
	rises := 0
	for _, era := range []int64{0, 3, 3, 4, 3, 6} {
		if w.Observe(era) {
			rises++
		}
	}
	if got, want := rises, 2; got != want || w.Rises() != want || w.Era() != 6 {
		t.Errorf("got %d rises and era %d, want %d and 6", got, w.Era(), want)
	}
}

func record(key, value string, offset int64) platform.Record {
	return platform.Record{Key: key, Value: []byte(value), Offset: offset}
}

func TestRetainer(t *testing.T) {
	const back = time.Minute
	tests := []struct {
		name     string
		appended []platform.Record
		shown    []platform.Record
		// believed is what is believed at once, released what replaces it after the grace period.
		believed, released string
	}{
		{"missing entry is retained", []platform.Record{record("a", "1", 9)}, nil, "1", ""},
		{"entry of the copy is not believed", []platform.Record{record("a", "draining", 9)}, []platform.Record{record("a", "ready", 5)}, "draining", "ready"},
		{"deletion is retained", []platform.Record{record("a", "1", 5), record("a", "", 9)}, []platform.Record{record("a", "1", 5)}, "", "1"},
		{"entry written again is believed", []platform.Record{record("a", "ready", 9)}, []platform.Record{record("a", "draining", 12)}, "draining", "draining"},
		{"new entry is believed", nil, []platform.Record{record("a", "1", 2)}, "1", "1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var r Retainer
			r.Append(back-time.Second, test.appended)
			values := make(map[string]string)
			for _, b := range r.Snapshot(back, test.shown, true) {
				values[b.Key] = string(b.Value)
			}
			if got, want := values["a"], test.believed; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
			if got := r.Release(back + Grace - 1); got != nil {
				t.Errorf("got %v during the grace period, want nothing", got)
			}
			for _, b := range r.Release(back + Grace) {
				values[b.Key] = string(b.Value)
			}
			if got, want := values["a"], test.released; got != want {
				t.Errorf("got %q after the grace period, want %q", got, want)
			}
		})
	}
	t.Run("entry that arrives during the grace period is believed", func(t *testing.T) {
		var r Retainer
		r.Append(back-time.Second, []platform.Record{record("a", "1", 9)})
		r.Snapshot(back, nil, true)
		r.Append(back+time.Second, []platform.Record{record("a", "2", 4)})
		if r.IsRetaining() || r.Release(back+Grace) != nil {
			t.Error("got the entry withheld, want it believed")
		}
	})
	t.Run("long unread topic is not retained", func(t *testing.T) {
		var r Retainer
		r.Append(0, []platform.Record{record("a", "1", 9)})
		if got := r.Snapshot(back, nil, true); len(got) > 0 {
			t.Errorf("got %v, want nothing", got)
		}
	})
}
