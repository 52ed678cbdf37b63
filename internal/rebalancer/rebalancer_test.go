package rebalancer

import (
	"testing"
	"time"
)

// interval is the time between two observations, a tick of a host.
const interval = 50 * time.Millisecond

// pressures returns the pressures of the large and the small model at a time.
type pressures func(now time.Duration) (large, small float64)

// observe lets a rebalancer observe 72 servers of each model, and returns the moves and when they were
// made.
func observe(r *Rebalancer, d time.Duration, at pressures) (moves []Move, times []time.Duration) {
	for now := interval; now <= d; now += interval {
		large, small := at(now)
		move, ok := r.Observe(now, []Pool{
			{Model: "large", Servers: 72, GroupSize: 12, Pressure: large, ChangeTime: 3 * time.Second},
			{Model: "small", Servers: 72, GroupSize: 6, Pressure: small, ChangeTime: 3 * time.Second},
		})
		if ok {
			moves, times = append(moves, move), append(times, now)
		}
	}
	return moves, times
}

func assertMoves(t *testing.T, got []Move, want ...Move) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("got moves %v, want %v", got, want)
	}
	for n := range want {
		if got[n] != want[n] {
			t.Errorf("got move %v, want %v", got[n], want[n])
		}
	}
}

// Load: from some moment on the callers of one model are more than its groups serve, for good.
func TestShareFollowsDemandThatLasts(t *testing.T) {
	r := &Rebalancer{}
	moves, times := observe(r, 30*time.Second, func(now time.Duration) (float64, float64) {
		if now < 5*time.Second {
			return 0.4, 0.6
		}
		return 0.4, 1.2
	})
	assertMoves(t, moves, Move{From: "large", To: "small"})
	if got, least := times[0], 5*time.Second+minLasting; got < least || got > least+2*memory {
		t.Errorf("got the move at %v, want it within %v of %v", got, 2*memory, least)
	}
	if got, want := r.Share("small", 0.5), 0.5+12.0/144; got != want {
		t.Errorf("got share %v, want %v", got, want)
	}
	if got, want := r.Share("large", 0.5), 0.5-12.0/144; got != want {
		t.Errorf("got share %v, want %v", got, want)
	}
	if got, want := r.Share("other", 0.3), 0.3; got != want {
		t.Errorf("got share %v of a model without a move, want %v", got, want)
	}
}

// Load: bursts of three to six seconds on one model, with pauses.
func TestBurstsMoveNothing(t *testing.T) {
	for _, length := range []time.Duration{3 * time.Second, 6 * time.Second} {
		moves, _ := observe(&Rebalancer{}, 2*time.Minute, func(now time.Duration) (float64, float64) {
			if now%(3*length) < length {
				return 0.3, 1.7
			}
			return 0.3, 0.5
		})
		assertMoves(t, moves)
	}
}

// Load: both models lack room, or both have it, or none can do without a group.
func TestNothingMovesWithoutRoomToSpare(t *testing.T) {
	for name, at := range map[string]pressures{
		"both lack room":            func(time.Duration) (float64, float64) { return 0.9, 1.4 },
		"both have room":            func(time.Duration) (float64, float64) { return 0.2, 0.8 },
		"the other needs its group": func(time.Duration) (float64, float64) { return 0.6, 1.4 },
	} {
		t.Run(name, func(t *testing.T) {
			moves, _ := observe(&Rebalancer{}, time.Minute, at)
			assertMoves(t, moves)
		})
	}
	t.Run("the last group of a model", func(t *testing.T) {
		r := &Rebalancer{}
		for now := interval; now < time.Minute; now += interval {
			if move, ok := r.Observe(now, []Pool{{Model: "large", Servers: 12, GroupSize: 12}, {Model: "small", Servers: 12, GroupSize: 6, Pressure: 2}}); ok {
				t.Fatalf("got move %v, want none", move)
			}
		}
	})
}

// Load: demand swings between the models each quarter of a minute.
func TestGroupsDoNotGoBackAndForth(t *testing.T) {
	moves, times := observe(&Rebalancer{}, 2*time.Minute, func(now time.Duration) (float64, float64) {
		if now%(30*time.Second) < 15*time.Second {
			return 0.3, 1.3
		}
		return 1.3, 0.3
	})
	for n := 1; n < len(times); n++ {
		if times[n]-times[n-1] < rest {
			t.Errorf("got moves %v at %v, want %v between two", moves, times, rest)
		}
	}
}

func TestExpensiveChangeWaitsLonger(t *testing.T) {
	r := &Rebalancer{}
	for now := interval; ; now += interval {
		_, ok := r.Observe(now, []Pool{{Model: "large", Servers: 72, GroupSize: 12, Pressure: 0.2}, {Model: "small", Servers: 72, GroupSize: 6, Pressure: 2, ChangeTime: 8 * time.Second}})
		if !ok {
			continue
		}
		if got, want := now, changesPaidFor*8*time.Second; got < want {
			t.Errorf("got the move after %v, want it after %v", got, want)
		}
		return
	}
}

// A host that has not been the controller for a while does not act on what it saw before.
func TestAveragesStartAnewAfterGap(t *testing.T) {
	r := &Rebalancer{}
	pools := []Pool{{Model: "large", Servers: 72, GroupSize: 12, Pressure: 0.2}, {Model: "small", Servers: 72, GroupSize: 6, Pressure: 2}}
	for now := interval; now < minLasting-time.Second; now += interval {
		r.Observe(now, pools)
	}
	if move, ok := r.Observe(time.Minute, pools); ok {
		t.Errorf("got move %v after a gap, want none", move)
	}
}
