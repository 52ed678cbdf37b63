package logger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// decodeLines decodes the log lines in a buffer.
func decodeLines(t *testing.T, b *bytes.Buffer) []map[string]any {
	t.Helper()
	var list []map[string]any
	for d := json.NewDecoder(b); d.More(); {
		var line map[string]any
		if err := d.Decode(&line); err != nil {
			t.Fatal(err)
		}
		list = append(list, line)
	}
	return list
}

func TestClasses(t *testing.T) {
	t.Run("lines of a class beyond its burst are suppressed and counted", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var b bytes.Buffer
			l := New(&b)
			log := l.For("test")
			const floodLines = 3 * classBurstLines
			for n := range floodLines {
				log.Info().Msg(fmt.Sprintf("no place: reason %d", n))
			}
			log.Info().Msg("group is open")
			time.Sleep(time.Second)
			log.Info().Msg("no place: later")
			got := decodeLines(t, &b)
			if want := classBurstLines + 2; len(got) != want {
				t.Fatalf("got %d lines, want %d", len(got), want)
			}
			if suppressed, want := got[len(got)-1][suppressedField], float64(floodLines-classBurstLines); suppressed != want {
				t.Errorf("got %v suppressed lines, want %v", suppressed, want)
			}
			if suppressed, ok := got[len(got)-2][suppressedField]; ok {
				t.Errorf("got %v suppressed lines of another class, want none", suppressed)
			}
		})
	})
	t.Run("the number of classes is bounded", func(t *testing.T) {
		c := newClassLimiter()
		for n := range 3 * maxClasses {
			c.allow(fmt.Sprint("message ", n), time.Unix(0, 0))
		}
		if got, want := len(c.states), maxClasses+1; got > want {
			t.Errorf("got %d classes, want at most %d", got, want)
		}
	})
}
