package center

import (
	"fmt"
	"testing"
	"time"

	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// runner is a worker that runs what it is told for a set time.
type runner struct {
	name    string
	number  uint64
	open    uint64
	running map[ledger.Attempt]time.Duration
	ended   []ledger.End
}

func (n *net) beatNow(r *runner, total ledger.Room) {
	n.id++
	r.number++
	r.open = n.id
	b := ledger.Beat{Worker: r.name, Incarnation: 1, Number: r.number, Service: "s", Site: "x", Rack: "r" + r.name[1:2], Free: total, Total: total, Ended: r.ended}
	for a := range r.running {
		b.Running = append(b.Running, a)
	}
	line := machine.Line{Wire: 1, Kind: wire.Beat, From: "side", Body: machine.MustMarshal(wire.BeatBody{ID: n.id, Hold: 500 * time.Millisecond, Beat: b})}
	n.step(n.leader(), machine.Input{Line: line})
}

// load plays jobs on workers for a span of simulated time.
func (n *net) load(workers int, span time.Duration, each time.Duration, count, wide, slots int, runFor time.Duration) (starts int) {
	total := ledger.Room{Slots: 64000, MemoryMB: 131072}
	var all []*runner
	for i := range workers {
		all = append(all, &runner{name: fmt.Sprintf("w%02d", i), running: map[ledger.Attempt]time.Duration{}})
	}
	next, made := n.now, 0
	for end := n.now + span; n.now < end; {
		for ; next <= n.now; next += each {
			made++
			class := []string{"c", "d", "q"}[made%3]
			steps := []ledger.StepSpec{{Count: count, Room: ledger.Room{Slots: slots + made%7*100, MemoryMB: 2000}}, {Count: count, After: []int{0}, Room: ledger.Room{Slots: slots, MemoryMB: 1000}}}
			if class == "c" && wide > 0 && made%9 == 0 {
				steps = []ledger.StepSpec{{Count: wide, Gang: true, Room: ledger.Room{Slots: slots, MemoryMB: 2000}, Placing: ledger.Placing{SameRack: true}}}
			} else if class == "d" && wide > 0 && made%9 == 1 {
				steps = []ledger.StepSpec{{Count: wide, Room: ledger.Room{Slots: slots, MemoryMB: 2000}}, {Count: wide, After: []int{0}, Room: ledger.Room{Slots: slots / 2, MemoryMB: 2000}}}
			}
			n.id++
			cmd := ledger.Command{Kind: ledger.KindAccept, Brief: true, Accept: ledger.JobSpec{ID: fmt.Sprintf("j%d", made), Service: "s", Class: class, Steps: steps}}
			n.step(n.leader(), machine.Input{Line: machine.Line{Wire: 1, Kind: wire.Command, From: "door", Body: machine.MustMarshal(wire.CommandBody{ID: n.id, Command: cmd})}})
		}
		for _, r := range all {
			dirty := r.open == 0
			for a, at := range r.running {
				if at <= n.now {
					delete(r.running, a)
					r.ended = append(r.ended, ledger.End{Attempt: a, Good: true})
					dirty = true
				}
			}
			if b, ok := n.replies[r.open]; ok {
				delete(n.replies, r.open)
				r.ended = nil
				for _, s := range b.Answer.Orders.Starts {
					r.running[s.Attempt] = n.now + runFor
					starts++
				}
				for _, s := range b.Answer.Orders.Stops {
					delete(r.running, s)
					r.ended = append(r.ended, ledger.End{Attempt: s, Stopped: true})
				}
				dirty = true
			}
			if dirty {
				n.beatNow(r, total)
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
		n.command(ledger.Command{Kind: ledger.KindPlan, Plan: ledger.PlanChange{Body: []byte(threeClasses)}})
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
