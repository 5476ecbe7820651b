package control

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/wire"
)

// runner is a worker that runs what it is told for a set time.
type simWorker struct {
	name        string
	number      uint64
	openRequest uint64
	running     map[state.Attempt]time.Duration
	ended       []state.AttemptResult
}

func (n *testNet) heartbeatNow(r *simWorker, total state.Resources) {
	n.lastID++
	r.number++
	r.openRequest = n.lastID
	b := state.Heartbeat{Worker: r.name, Incarnation: 1, Number: r.number, Service: "s", Zone: "x", Rack: "r" + r.name[1:2], Free: total, Total: total, Ended: r.ended}
	for a := range r.running {
		b.Running = append(b.Running, a)
	}
	message := machine.Message{Version: 1, Kind: wire.KindHeartbeat, From: "side", Body: machine.MustMarshal(wire.HeartbeatRequest{ID: n.lastID, MaxWait: 500 * time.Millisecond, Heartbeat: b})}
	n.step(n.leader(), machine.Input{Message: message})
}

// load plays jobs on workers for a span of simulated time.
func (n *testNet) load(workers int, span time.Duration, each time.Duration, count, wide, slots int, runFor time.Duration) (starts int) {
	total := state.Resources{Slots: 64000, MemoryMB: 131072}
	var all []*simWorker
	for i := range workers {
		all = append(all, &simWorker{name: fmt.Sprintf("w%02d", i), running: map[state.Attempt]time.Duration{}})
	}
	next, made := n.now, 0
	for end := n.now + span; n.now < end; {
		for ; next <= n.now; next += each {
			made++
			class := []string{"c", "d", "q"}[made%3]
			steps := []state.StepSpec{{Count: count, Resources: state.Resources{Slots: slots + made%7*100, MemoryMB: 2000}}, {Count: count, DependsOn: []int{0}, Resources: state.Resources{Slots: slots, MemoryMB: 1000}}}
			if class == "c" && wide > 0 && made%9 == 0 {
				steps = []state.StepSpec{{Count: wide, Gang: true, Resources: state.Resources{Slots: slots, MemoryMB: 2000}, Placement: state.Placement{SameRack: true}}}
			} else if class == "d" && wide > 0 && made%9 == 1 {
				steps = []state.StepSpec{{Count: wide, Resources: state.Resources{Slots: slots, MemoryMB: 2000}}, {Count: wide, DependsOn: []int{0}, Resources: state.Resources{Slots: slots / 2, MemoryMB: 2000}}}
			}
			n.lastID++
			cmd := state.Command{Kind: state.KindAcceptJob, Summary: true, Job: state.JobSpec{ID: fmt.Sprintf("j%d", made), Service: "s", Class: class, Steps: steps}}
			n.step(n.leader(), machine.Input{Message: machine.Message{Version: 1, Kind: wire.KindCommand, From: "door", Body: machine.MustMarshal(wire.CommandRequest{ID: n.lastID, Command: cmd})}})
		}
		for _, r := range all {
			dirty := r.openRequest == 0
			for a, at := range r.running {
				if at <= n.now {
					delete(r.running, a)
					r.ended = append(r.ended, state.AttemptResult{Attempt: a, Succeeded: true})
					dirty = true
				}
			}
			if b, ok := n.replies[r.openRequest]; ok {
				delete(n.replies, r.openRequest)
				r.ended = nil
				for _, s := range b.Result.Heartbeat.Starts {
					r.running[s.Attempt] = n.now + runFor
					starts++
				}
				for _, s := range b.Result.Heartbeat.Stops {
					delete(r.running, s)
					r.ended = append(r.ended, state.AttemptResult{Attempt: s, Stopped: true})
				}
				dirty = true
			}
			if dirty {
				n.heartbeatNow(r, total)
			}
		}
		n.run(10 * time.Millisecond)
	}
	return starts
}

const threeClasses = `{"services":{"s":{"anyLabel":true,"classes":{
 "q":{"priority":1000,"share":33,"quick":true,"silence":"restart"},"c":{"priority":990,"share":33,"silence":"restart"},"d":{"priority":980,"share":33,"silence":"restart"}}}},
 "policies":{"borrow":"true"},"limits":{"endsAtCutoff":true}}`

func benchmark(b *testing.B, workers int, each time.Duration, wide int) {
	for range b.N {
		n := newNet(nil)
		n.run(3 * time.Second)
		n.command(state.Command{Kind: state.KindChangeConfig, ConfigChange: state.ConfigChange{Body: []byte(threeClasses)}})
		starts := n.load(workers, 10*time.Second, each, 5, wide, 8000, time.Second)
		b.ReportMetric(float64(starts), "starts")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(1, starts))/1000/float64(b.N), "µs/start")
	}
}

func BenchmarkCalm(b *testing.B)    { benchmark(b, 11, 200*time.Millisecond, 0) }
func BenchmarkBacklog(b *testing.B) { benchmark(b, 11, 50*time.Millisecond, 0) }
func BenchmarkGrown(b *testing.B)   { benchmark(b, 74, 33*time.Millisecond, 0) }

// BenchmarkWide has gangs of 40 and steps of 40 beside the rest, on full workers.
func BenchmarkWide(b *testing.B) { benchmark(b, 74, 25*time.Millisecond, 40) }
