package keeper

import (
	"encoding/json"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/quarantiner"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// record is a quarantine in the store. Its key is the part, which is a hash. Times are those of the clock of
// the host that wrote it.
type record struct {
	CrashedUnixMillis   int64    `json:"crashed-unix-ms"`
	RequestedUnixMillis int64    `json:"requested-unix-ms"`
	UsedUnixMillis      int64    `json:"used-unix-ms"`
	Permits             int      `json:"permits"`
	Used                int      `json:"used"`
	Rivals              []string `json:"rivals,omitempty"`
}

// encode returns the record of a quarantine.
func encode(q quarantiner.Quarantine, now time.Time) []byte {
	r := record{
		CrashedUnixMillis: now.Add(-q.Age).UnixMilli(), RequestedUnixMillis: now.Add(-q.IdleFor).UnixMilli(), UsedUnixMillis: now.Add(-q.SinceUse).UnixMilli(),
		Permits: q.Permits, Used: q.Used,
	}
	for _, rival := range q.Rivals {
		r.Rivals = append(r.Rivals, rival.String())
	}
	data, err := json.Marshal(r)
	if err != nil {
		return nil
	}
	return data
}

// decode returns false if a record is not one that a host writes. Its permits count as used.
func decode(stored platform.Record, now time.Time) (quarantiner.Quarantine, bool) {
	var r record
	part, ok := quarantiner.ParsePart(stored.Key)
	if !ok || json.Unmarshal(stored.Value, &r) != nil || r.Permits < 0 || r.Used < 0 {
		return quarantiner.Quarantine{}, false
	}
	// Clocks of hosts differ by seconds.
	since := func(unixMillis int64) time.Duration { return max(0, now.Sub(time.UnixMilli(unixMillis))) }
	q := quarantiner.Quarantine{
		Part: part, Age: since(r.CrashedUnixMillis), IdleFor: since(r.RequestedUnixMillis), SinceUse: since(r.UsedUnixMillis),
		Permits: r.Permits, Used: r.Used, IsUsed: true,
	}
	for _, text := range r.Rivals {
		if rival, ok := quarantiner.ParsePart(text); ok {
			q.Rivals = append(q.Rivals, rival)
		}
	}
	return q, true
}
