package control

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

const threeClasses = `{"services":{"s":{"anyLabel":true,"classes":{
 "q":{"priority":1000,"share":33,"quick":true,"silence":"restart"},
 "c":{"priority":990,"share":33,"silence":"restart"},
 "d":{"priority":980,"share":33,"silence":"restart"}}}},
 "policies":{"borrow":"true"},"limits":{"endsAtCutoff":true}}`

// simWorker is a worker that runs each task for a fixed time. It sends its heartbeats without
// an agent.
type simWorker struct {
	name        string
	number      uint64
	openRequest uint64
	running     map[state.Attempt]time.Duration
	ended       []state.AttemptResult
	// mixed makes each task run for the time of its class in mixedRunTimes.
	mixed bool
}

// benchmarkLoad describes the jobs and workers of a benchmark.
type benchmarkLoad struct {
	workers  int
	interval time.Duration // between two jobs
	wide     int           // tasks of each gang and wide step; 0 means that there are none
	tenants  int           // tenants that submit the jobs; 0 means that jobs have no tenant
	// mixed uses the jobs of mixedJob instead.
	mixed bool
	// generation counts how often all workers were replaced, jobsBefore the jobs submitted by
	// earlier loads.
	generation, jobsBefore int
	span                   time.Duration // 0 means benchmarkSpan
}

const (
	benchmarkTasks   = 5 // tasks of a step that is not wide
	benchmarkSlots   = 8000
	benchmarkRunTime = time.Second
	benchmarkSpan    = 10 * time.Second
)

var benchmarkWorker = state.Resources{Slots: 64000, MemoryMB: 131072}

func BenchmarkCalm(b *testing.B) {
	benchmark(b, benchmarkLoad{workers: 11, interval: 200 * time.Millisecond})
}

func BenchmarkBacklog(b *testing.B) {
	benchmark(b, benchmarkLoad{workers: 11, interval: 50 * time.Millisecond})
}

func BenchmarkGrown(b *testing.B) {
	benchmark(b, benchmarkLoad{workers: 74, interval: 33 * time.Millisecond})
}

// BenchmarkTenants is BenchmarkGrown with tenants, whose limits are never reached.
func BenchmarkTenants(b *testing.B) {
	benchmark(b, benchmarkLoad{workers: 74, interval: 33 * time.Millisecond, tenants: 20})
}

// BenchmarkWide adds gangs and steps of 40 tasks, on fully used workers.
func BenchmarkWide(b *testing.B) {
	benchmark(b, benchmarkLoad{workers: 74, interval: 25 * time.Millisecond, wide: 40})
}

// BenchmarkLarge submits more work than its 240 workers can run.
func BenchmarkLarge(b *testing.B) {
	benchmark(b, benchmarkLoad{workers: 240, interval: 8 * time.Millisecond, wide: 40})
}

// BenchmarkMixed starts 1,100 tasks per second on 240 workers, which are two thirds full.
func BenchmarkMixed(b *testing.B) {
	benchmark(b, benchmarkLoad{workers: 240, interval: 8163 * time.Microsecond, mixed: true})
}

// BenchmarkMixedBacklog submits 1.5 times the work that its 240 workers can run.
func BenchmarkMixedBacklog(b *testing.B) {
	benchmark(b, benchmarkLoad{workers: 240, interval: 3600 * time.Microsecond, mixed: true})
}

func benchmark(b *testing.B, load benchmarkLoad) {
	for range b.N {
		n := newNet(nil)
		n.run(3 * time.Second)
		n.command(state.Command{
			Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{Body: load.config()},
		})
		starts := n.runLoad(load)
		b.ReportMetric(float64(starts), "starts")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(1, starts))/1000/float64(b.N), "µs/start")
	}
}

// runLoad runs a load for its span of simulated time and returns the number of starts.
func (n *testNet) runLoad(load benchmarkLoad) (starts int) {
	var workers []*simWorker
	for i := range load.workers {
		workers = append(workers, &simWorker{
			name:    fmt.Sprintf("%c%02d", 'w'-load.generation, i),
			running: map[state.Attempt]time.Duration{},
			mixed:   load.mixed,
		})
	}
	nextJob, jobs := n.now, load.jobsBefore
	for end := n.now + cmp.Or(load.span, benchmarkSpan); n.now < end; {
		for ; nextJob <= n.now; nextJob += load.interval {
			jobs++
			n.lastID++
			command := state.Command{Kind: state.KindAcceptJob, Summary: true, Job: load.job(jobs)}
			if load.tenants > 0 {
				command.KeyDigest = config.DigestKey(fmt.Sprint(jobs % load.tenants))
			}
			request := wire.CommandRequest{ID: n.lastID, Command: command}
			n.step(n.leader(), machine.Input{Message: newMessage(wire.KindCommand, "gateway", request)})
		}
		for _, worker := range workers {
			changed, started := n.stepWorker(worker)
			if starts += started; changed {
				n.sendWorkerHeartbeat(worker)
			}
		}
		n.run(10 * time.Millisecond)
	}
	return starts
}

// config returns the configuration of the benchmark, including its tenants.
func (l benchmarkLoad) config() []byte {
	built, _ := config.Parse([]byte(threeClasses))
	built.Tenants = map[string]config.Tenant{}
	for i := range l.tenants {
		key := fmt.Sprint(i)
		built.Tenants["t"+key] = config.Tenant{
			Keys: []string{config.DigestKey(key)}, Limit: config.Resources{Slots: 1 << 30, MemoryMB: 1 << 30},
		}
	}
	return machine.MustJSON(built)
}

// job returns the job with the given number: one with two steps or, for some numbers, a gang
// or a job of wide steps.
func (l benchmarkLoad) job(number int) state.JobSpec {
	if l.mixed {
		return mixedJob(number)
	}
	const slots = benchmarkSlots
	class := []string{"c", "d", "q"}[number%3]
	step := func(count, slots, memoryMB int, dependsOn ...int) state.StepSpec {
		resources := state.Resources{Slots: slots, MemoryMB: memoryMB}
		return state.StepSpec{Count: count, DependsOn: dependsOn, Resources: resources}
	}
	steps := []state.StepSpec{
		step(benchmarkTasks, slots+number%7*100, 2000),
		step(benchmarkTasks, slots, 1000, 0),
	}
	if class == "c" && l.wide > 0 && number%9 == 0 {
		gang := step(l.wide, slots, 2000)
		gang.Gang, gang.Placement = true, state.Placement{SameRack: true}
		steps = []state.StepSpec{gang}
	} else if class == "d" && l.wide > 0 && number%9 == 1 {
		steps = []state.StepSpec{step(l.wide, slots, 2000), step(l.wide, slots/2, 2000, 0)}
	}
	return state.JobSpec{ID: fmt.Sprintf("j%d", number), Service: "s", Class: class, Steps: steps}
}

// stepWorker ends the tasks whose run time is over and handles the reply to the last heartbeat
// if it has arrived. It reports whether the worker must send a heartbeat, and the number of
// tasks started.
func (n *testNet) stepWorker(worker *simWorker) (changed bool, starts int) {
	changed = worker.openRequest == 0
	for attempt, endsAt := range worker.running {
		if endsAt <= n.now {
			delete(worker.running, attempt)
			worker.ended = append(worker.ended, state.AttemptResult{Attempt: attempt, Succeeded: true})
			changed = true
		}
	}
	reply, ok := n.heartbeatReplies[worker.openRequest]
	if !ok {
		return changed, 0
	}
	delete(n.heartbeatReplies, worker.openRequest)
	orders := reply.Result.Heartbeat
	worker.ended = slices.DeleteFunc(worker.ended, func(end state.AttemptResult) bool {
		return slices.Contains(orders.Acks, end.Attempt)
	})
	for _, start := range orders.Starts {
		runTime := benchmarkRunTime
		if classTime, mixed := mixedRunTimes[start.Class]; mixed && worker.mixed {
			runTime = classTime
		}
		worker.running[start.Attempt] = n.now + runTime
	}
	for _, stopped := range orders.Stops {
		delete(worker.running, stopped)
		worker.ended = append(worker.ended, state.AttemptResult{Attempt: stopped, Stopped: true})
	}
	return true, len(orders.Starts)
}

func (n *testNet) sendWorkerHeartbeat(worker *simWorker) {
	worker.number++
	heartbeat := state.Heartbeat{
		Worker: worker.name, Incarnation: 1, Number: worker.number, Service: "s", Zone: "x",
		Rack: "r" + worker.name[1:2], Free: benchmarkWorker, Total: benchmarkWorker, Ended: worker.ended,
	}
	if worker.mixed {
		number, _ := strconv.Atoi(worker.name[1:])
		heartbeat.Rack, heartbeat.Zone = mixedRack(number), fmt.Sprintf("z%d", number/mixedWorkersPerZone)
		heartbeat.Address = worker.name[1:]
		heartbeat.Labels = []string{string(rune('a' + number%2))}
	}
	for attempt := range worker.running {
		heartbeat.Running = append(heartbeat.Running, attempt)
	}
	worker.openRequest = n.sendHeartbeat(n.leader(), 500*time.Millisecond, heartbeat)
}
