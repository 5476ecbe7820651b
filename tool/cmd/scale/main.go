// Program scale measures what the daemons cost at a size: real core processes
// on loopback, hollow daemons and workers beside them.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"

	"sorrelloom/tool/scale"
)

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	var env scale.Config
	var core scale.CoreConfig
	fs := flag.NewFlagSet("scale", flag.ContinueOnError)
	fs.IntVar(&env.Cores, "cores", 3, "core processes")
	fs.IntVar(&env.Workers, "workers", 11, "hollow workers, each with a hollow daemon")
	fs.IntVar(&env.Gateways, "doors", 6, "hollow doors")
	fs.Float64Var(&env.StartsPerSecond, "starts", 40, "task starts a second")
	fs.IntVar(&env.TasksPerJob, "width", 3, "tasks of a job")
	fs.IntVar(&env.SlotsPerTask, "slots", 4000, "slots of a task, of 64000 a worker")
	fs.DurationVar(&env.TaskDuration, "run-for", time.Second, "how long a task runs")
	fs.DurationVar(&env.LoadDuration, "for", 10*time.Second, "how long jobs are handed in")
	fs.IntVar(&env.Port, "port", 7900, "port on every loopback address")
	fs.StringVar(&env.Directory, "folder", "", "folder for data and logs; a new temporary one if left out")
	fs.StringVar(&env.ProfilePath, "profile", "", "file to write the core processes' processor profiles to")
	fs.StringVar(&core.Address, "core", "", "be the core process at this address (used by scale itself)")
	fs.StringVar(&core.Zone, "site", "", "with -core: the site")
	fs.StringVar(&core.DataDir, "data", "", "with -core: the data folder")
	fs.StringVar(&core.BootstrapMembers, "founders", "", "with -core: the founders")
	if err := ff.Parse(fs, args); err != nil {
		return 2
	}
	if core.Address != "" {
		core.ProfilePath = env.ProfilePath
		if err := scale.RunCore(core); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		return 0
	}
	if env.Directory == "" {
		folder, err := os.MkdirTemp("", "scale")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(folder)
		env.Directory = folder
	}
	r, err := scale.Run(env)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Printf("workers=%d doors=%d cores=%d for=%s jobs=%d starts=%d refused=%d startP50Ms=%d startP99Ms=%d\n",
		env.Workers, env.Gateways, env.Cores, env.LoadDuration, r.Jobs, r.Starts, r.Rejected, r.StartLatencyP50.Milliseconds(), r.StartLatencyP99.Milliseconds())
	for _, c := range r.Processes {
		fmt.Printf("process=%s processorSeconds=%.2f ofACore=%.4f peakMB=%.1f readMB=%.2f writtenMB=%.2f\n", c.Name, c.CPUSeconds, c.CPUSeconds/env.LoadDuration.Seconds(), c.PeakMB, c.ReadMB, c.WrittenMB)
	}
	return 0
}
