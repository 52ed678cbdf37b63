package logger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// lines decodes what was written.
func lines(t *testing.T, b *bytes.Buffer) []map[string]any {
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
	t.Run("a flood of one class is cut and counted", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			var b bytes.Buffer
			l := New(&b)
			log := l.For("test")
			const flood = 3 * classBurst
			for n := range flood {
				log.Info().Msg(fmt.Sprintf("no place: reason %d", n))
			}
			log.Info().Msg("group is open")
			time.Sleep(time.Second)
			log.Info().Msg("no place: later")
			got := lines(t, &b)
			if want := classBurst + 2; len(got) != want {
				t.Fatalf("got %d lines, want %d", len(got), want)
			}
			if left, want := got[len(got)-1][fieldLeftOut], float64(flood-classBurst); left != want {
				t.Errorf("got %v lines left out, want %v", left, want)
			}
			if left, ok := got[len(got)-2][fieldLeftOut]; ok {
				t.Errorf("got %v lines left out of another class, want none", left)
			}
		})
	})
	t.Run("the number of classes is bounded", func(t *testing.T) {
		c := newClasses()
		for n := range 3 * mostClasses {
			c.take(fmt.Sprint("message ", n), time.Unix(0, 0))
		}
		if got, want := len(c.known), mostClasses+1; got > want {
			t.Errorf("got %d classes, want at most %d", got, want)
		}
	})
}
