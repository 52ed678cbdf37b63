package encoder

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/deduplicator"
)

// BenchmarkKeys folds records of 64 claims and their completions, and reports
// the bytes of a record and the memory for each key.
func BenchmarkKeys(b *testing.B) {
	const groupSize = 64
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d := deduplicator.New()
	recordBytes, now := 0, time.Now()
	for n := 0; b.Loop(); n++ {
		var claims, ends deduplicator.Batch
		shard := n % deduplicator.ShardCount
		for len(claims.Claims) < groupSize {
			key := deduplicator.NewKey("family", "mostrador", fmt.Sprint(n, len(claims.Claims), uuid.NewString()))
			key[0] = byte(shard)
			id := fuchsiapitch.RequestID("req-" + uuid.NewString())
			claims.Claims = append(claims.Claims, deduplicator.Claim{Key: key, RequestID: id, BodyHash: uint64(n), ClaimedAt: now, RequestExpiresAt: now.Add(time.Minute)})
			ends.Completions = append(ends.Completions, deduplicator.Completion{Key: key, RequestID: id, Outcome: fuchsiapitch.OutcomeUnknown})
		}
		for _, group := range []deduplicator.Batch{claims, ends} {
			data, err := EncodeKeyGroup(group)
			if err != nil {
				b.Fatal(err)
			}
			recordBytes += len(data)
			read, err := DecodeKeyGroup(data)
			if err != nil {
				b.Fatal(err)
			}
			d.Apply(shard, read)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	keys := float64(b.N * groupSize)
	b.ReportMetric(float64(recordBytes)/keys, "log-bytes/key")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(d.KeyCount()), "memory-bytes/key")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/keys, "ns/key")
	runtime.KeepAlive(d)
}
