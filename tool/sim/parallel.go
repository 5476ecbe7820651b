package sim

import (
	"sync"

	"sorrelloom/daemon/pool"
)

// maxParallelRuns is how many runs are played at once.
const maxParallelRuns = 8

// PlayFleets plays several fleet scenarios at once; each is a world of its own.
func PlayFleets(runs []Options) []Result { return playParallel(runs, PlayFleet) }

// playParallel plays several runs at once, and returns their results in order.
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
