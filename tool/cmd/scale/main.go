// Program scale measures the resource usage of the daemons at a given cluster size, with real
// core processes, hollow daemons and hollow workers on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"

	"sorrelloom/tool/scale"
)

const (
	exitOK = iota
	exitFailed
	exitUsage
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	config, core, err := parseFlags(args)
	if err != nil {
		return exitUsage
	}
	if core.Address != "" {
		err = scale.RunCore(core)
	} else {
		err = measure(config)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "scale:", err)
		return exitFailed
	}
	return exitOK
}

// parseFlags parses the flags of a run, and those that it passes to its core processes.
func parseFlags(args []string) (scale.Config, scale.CoreConfig, error) {
	var config scale.Config
	var core scale.CoreConfig
	fs := flag.NewFlagSet("scale", flag.ContinueOnError)
	fs.IntVar(&config.CoreProcesses, "cores", 3, "number of core processes")
	fs.IntVar(&config.Workers, "workers", 11, "number of hollow workers, each with a hollow node agent")
	fs.IntVar(&config.Gateways, "doors", 6, "number of hollow gateways")
	fs.Float64Var(&config.StartsPerSecond, "starts", 40, "task starts per second")
	fs.IntVar(&config.TasksPerJob, "width", 3, "tasks per job")
	fs.IntVar(&config.SlotsPerTask, "slots", 4000, "slots per task; a worker has 64000")
	fs.DurationVar(&config.TaskDuration, "run-for", time.Second, "run time of a task")
	fs.DurationVar(&config.LoadDuration, "for", 10*time.Second, "time span in which jobs are submitted")
	fs.IntVar(&config.Port, "port", 7900, "port used on every loopback address")
	fs.StringVar(&config.Directory, "folder", "", "directory for data and logs; a temporary one if empty")
	fs.StringVar(&config.ProfilePath, "profile", "", "prefix of the files for the core processes' CPU profiles")
	fs.StringVar(&core.Address, "core", "", "run as the core process at this address (set by scale itself)")
	fs.StringVar(&core.Zone, "site", "", "with -core: the zone")
	fs.StringVar(&core.DataDir, "data", "", "with -core: the data directory")
	fs.StringVar(&core.BootstrapMembers, "founders", "", "with -core: the bootstrap members")
	err := ff.Parse(fs, args)
	core.ProfilePath = config.ProfilePath
	return config, core, err
}

// measure performs a run and prints its report.
func measure(config scale.Config) error {
	if config.Directory == "" {
		directory, err := os.MkdirTemp("", "scale")
		if err != nil {
			return err
		}
		defer os.RemoveAll(directory)
		config.Directory = directory
	}
	report, err := scale.Run(config)
	if err != nil {
		return err
	}
	fmt.Printf("workers=%d doors=%d cores=%d for=%s jobs=%d starts=%d refused=%d startP50Ms=%d startP99Ms=%d\n",
		config.Workers, config.Gateways, config.CoreProcesses, config.LoadDuration,
		report.Jobs, report.Starts, report.Rejected,
		report.StartLatencyP50.Milliseconds(), report.StartLatencyP99.Milliseconds())
	for _, p := range report.Processes {
		fmt.Printf("process=%s processorSeconds=%.2f ofACore=%.4f peakMB=%.1f readMB=%.2f writtenMB=%.2f\n",
			p.Name, p.CPUSeconds, p.CPUSeconds/config.LoadDuration.Seconds(), p.PeakMB, p.ReadMB, p.WrittenMB)
	}
	return nil
}
