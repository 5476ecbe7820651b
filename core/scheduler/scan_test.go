package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestScansVisitAllPullingWorkersInBatches has more workers that may pull than fit into one
// scan. Each is visited exactly once in as many scans as all of them need. Workers that
// disappear don't disturb the order.
func TestScansVisitAllPullingWorkersInBatches(t *testing.T) {
	const workers = 5 * maxPullingWorkers
	var pulling []string
	for i := range workers {
		pulling = append(pulling, fmt.Sprintf("w%03d", i))
	}
	var scans scanSchedule
	for round := range 3 {
		seen := map[string]int{}
		for range 5 {
			batch, rest := scans.nextBatch(pulling)
			if len(batch) != maxPullingWorkers || len(rest) != workers-maxPullingWorkers {
				t.Fatalf("a batch has %d workers, and %d are left", len(batch), len(rest))
			}
			for _, worker := range batch {
				seen[worker]++
			}
		}
		if len(seen) != workers {
			t.Errorf("round %d: %d of %d workers were in a batch", round, len(seen), workers)
		}
	}
	scans.lastPulling = "w100"
	few := slices.DeleteFunc(slices.Clone(pulling[:50]), func(worker string) bool { return worker == "w010" })
	if batch, rest := scans.nextBatch(few); len(batch) != 48 || batch[0] != "w000" || len(rest) != 1 || rest[0] != "w049" {
		t.Errorf("the batch is %s to %s, the rest %v", batch[0], batch[len(batch)-1], rest)
	}
	scans.lastPulling = "w010"
	if batch, _ := scans.nextBatch(few); batch[0] != "w011" || batch[len(batch)-1] != "w009" && len(batch) != 48 {
		t.Errorf("after a worker that has disappeared, the batch starts with %s", batch[0])
	}
	if batch, rest := scans.nextBatch(nil); len(batch)+len(rest) != 0 {
		t.Errorf("without workers, the batch is %v and the rest %v", batch, rest)
	}
}

// TestBatchSizeAdaptsToScanDuration has long scans while inputs wait: the batches get smaller
// until scans are short again. A long scan without waiting inputs changes nothing.
func TestBatchSizeAdaptsToScanDuration(t *testing.T) {
	var scans scanSchedule
	for _, row := range []struct {
		took    time.Duration
		backlog int
		want    int
	}{
		{30 * ms, 9, 48}, {50 * ms, 0, 48}, {50 * ms, 9, 24}, {900 * ms, 1, 12}, {41 * ms, 1, 6}, {50 * ms, 9, 3},
		{500 * ms, 9, 3}, {20 * ms, 9, 3}, {19 * ms, 9, 6}, {ms, 0, 12}, {20 * ms, 0, 12}, {ms, 9, 24}, {ms, 9, 48},
		{ms, 9, 48},
	} {
		scans.adaptBatchSize(row.took, row.backlog)
		if got := scans.batchSize(); got != row.want {
			t.Fatalf("after a scan of %s with %d waiting inputs: batch size %d, want %d",
				row.took, row.backlog, got, row.want)
		}
	}
}
