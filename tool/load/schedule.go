package load

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"sorrelloom/tool/deploy"
)

// arrival is the scheduled arrival of one job.
type arrival struct {
	at      time.Duration // from the start of the load
	traffic deploy.Traffic
	jobID   string
}

// schedule generates the arrivals from the seed, in order of time. The same configuration always
// gives the same arrivals.
func schedule(config Config) []arrival {
	var arrivals []arrival
	for i, traffic := range config.Deployment.Traffic {
		rng := rand.New(rand.NewPCG(config.Seed, uint64(i)))
		perSecond := traffic.PerSecond * config.RateFactor
		at := time.Duration(0)
		for n := 0; ; n++ {
			at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
			if at >= config.Duration {
				break
			}
			id := fmt.Sprintf("%s-%s-%d", config.IDPrefix, traffic.Class, n)
			arrivals = append(arrivals, arrival{at, traffic, id})
		}
	}
	for n := range config.BurstJobs {
		traffic := config.Deployment.Traffic[n%len(config.Deployment.Traffic)]
		id := fmt.Sprintf("%s-crowd-%s-%d", config.IDPrefix, traffic.Class, n)
		arrivals = append(arrivals, arrival{config.BurstAt, traffic, id})
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return arrivals
}
