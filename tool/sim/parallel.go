package sim

import (
	"sync"

	"sorrelloom/daemon/pool"
)

// maxParallelRuns is the largest number of runs at a time.
const maxParallelRuns = 8

// PlayFleets plays fleet scenarios in parallel, each in its own world, and returns their
// results in order.
func PlayFleets(runs []Options) []Result { return playParallel(runs, PlayFleet) }

// playParallel plays runs in parallel, and returns their results in order.
func playParallel(runs []Options, play func(Options) Result) []Result {
	results := make([]Result, len(runs))
	slots := make(chan struct{}, maxParallelRuns)
	var open sync.WaitGroup
	for i, options := range runs {
		open.Add(1)
		pool.Go(func() {
			defer open.Done()
			slots <- struct{}{}
			results[i] = play(options)
			<-slots
		})
	}
	open.Wait()
	return results
}
