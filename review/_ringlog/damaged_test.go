// Package ringlog_test has an observation of the review that is no case: see REPORT.md. It fails.
package ringlog_test

import (
	"errors"
	"testing"

	"basaltloft/coord/replica"
	"basaltloft/coord/ringlog"
	"basaltloft/coord/simdisk"
)

// TestPowerLossInTheFirstAppendAfterAStart loses power while the first append after a restart is being synced. All
// that was synced is on the disk, so that Open must not find the log damaged.
func TestPowerLossInTheFirstAppendAfterAStart(t *testing.T) {
	const seeds, entries, entryBytes = 400, 60, 300
	damaged := 0
	for seed := range uint64(seeds) {
		disk := simdisk.New(seed + 1)
		open := func() (*ringlog.Ring, error) {
			ring, _, err := ringlog.Open(disk, "log", ringlog.Sizes{SegmentBytes: 4096, Segments: 4})
			return ring, err
		}
		must := func(err error) {
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		ring, err := open()
		must(err)
		must(ring.Reset(replica.Snapshot{Index: 1, Term: 1, Data: []byte("s")}))
		for index := uint64(2); index < 2+entries; index++ { // enough for the ring to use segments again
			must(ring.Append(nil, []replica.Entry{{Index: index, Term: 2, Data: make([]byte, entryBytes)}}))
			if ring.NearlyFull() {
				must(ring.SaveSnapshot(replica.Snapshot{Index: index, Term: 2, Data: []byte("s")}))
			}
		}
		ring, err = open() // the process was killed and starts again
		must(err)
		disk.CrashAtOperation = disk.OperationCount + 2 // the write is done, its sync is not
		_ = ring.Append(&replica.HardState{Term: 3, Vote: "aaaa"}, nil)
		disk.LosePower()
		if _, err := open(); errors.Is(err, ringlog.ErrDamaged) {
			damaged++
		}
	}
	if damaged > 0 {
		t.Errorf("after %d of %d losses of power a log without damage was found damaged", damaged, seeds)
	}
}
