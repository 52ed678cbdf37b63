package quarantiner

import (
	"testing"
	"time"
)

// Guards against a lethal part that is passed by a sound one: of many servers that end at once
// under it, the first crashes were forgotten.
func TestManyCrashesOfOnePartAreKept(t *testing.T) {
	table := newTable("h1")
	recordCrashes(table, 10*time.Second, 0, minCrashes-1, lethal, shared)
	recordCrashes(table, 10*time.Second+testSettleTime/2, minCrashes, minCrashes+11, lethal)
	table.Review(10*time.Second + testSettleTime)
	if _, ok := table.quarantines[lethal]; !ok {
		t.Errorf("got quarantined parts %v, want the lethal one among them", table.QuarantinedParts())
	}
}
