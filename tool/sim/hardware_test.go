// Processors and connections with bounds, on a pair of processes of their own.

package sim

import (
	"slices"
	"strings"
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// recorder is a machine that notes what comes and when.
type recorder struct {
	kinds []string
	at    []time.Duration
}

func (r *recorder) NextTimer() time.Duration { return 0 }

func (r *recorder) Step(now time.Duration, in machine.Input) machine.Output {
	if in.Message.Kind != "" {
		r.kinds = append(r.kinds, in.Message.Kind)
		r.at = append(r.at, now)
	}
	return machine.Output{}
}

// pair is a world of a sender and a receiver, with nothing else in it.
func pair(hardware *Hardware) (w *World, from, to *node, got *recorder) {
	w = NewWorld(1)
	w.hardware = hardware
	got = &recorder{}
	add := func(address string, m machine.Machine) *node {
		n := &node{name: address, role: "door", address: address, state: up, main: m, diskSlow: 1}
		n.processor = w.newProcessor(n)
		w.nodes[address] = n
		return n
	}
	return w, add("a", &recorder{}), add("b", got), got
}

func (w *World) sendText(from *node, kind string, size int) {
	w.send(from, encoded{machine.OutgoingMessage{To: "b", Kind: kind}, machine.MustJSON(strings.Repeat("x", size))})
}

func slowReader(each time.Duration) *Hardware {
	links := Links{Rate: 1_000_000, Window: 100_000, WriteWait: 3 * time.Second, QueueMax: 100}
	return &Hardware{Share: 0.5, Costs: Costs{ReadLine: each}, Links: links}
}

func TestABusyProcessorTakesLinesOneAfterTheOther(t *testing.T) {
	w, from, _, got := pair(slowReader(100 * time.Millisecond))
	for range 5 {
		w.sendText(from, "x", 10)
	}
	w.Run(2 * time.Second)
	if len(got.at) != 5 {
		t.Fatalf("%d of 5 lines were taken", len(got.at))
	}
	for i := 1; i < 5; i++ {
		if gap := got.at[i] - got.at[i-1]; gap != 200*time.Millisecond {
			t.Errorf("line %d is taken %s after the one before; half a core takes 200ms for 100ms of work", i, gap)
		}
	}
}

func TestLinesWaitByRankAndOldOnesAreDropped(t *testing.T) {
	hardware := slowReader(100 * time.Millisecond)
	hardware.Order = QueueOrder{
		Rank: func(kind string) int { return map[string]int{wire.KindReplicate: 0, wire.KindHeartbeat: 1}[kind] },
		StaleAfter: func(kind string) time.Duration {
			return map[string]time.Duration{wire.KindHeartbeat: 400 * time.Millisecond}[kind]
		},
	}
	w, _, to, got := pair(hardware)
	for _, kind := range []string{wire.KindHeartbeat, wire.KindHeartbeat, wire.KindReplicate, wire.KindReplicate, wire.KindHeartbeat} {
		w.deliver(to, machine.Message{Version: 1, Kind: kind, From: "a"}, nil)
	}
	w.Run(2 * time.Second)
	want := []string{wire.KindHeartbeat, wire.KindReplicate, wire.KindReplicate}
	if !slices.Equal(got.kinds, want) {
		t.Errorf("taken are %v, want %v: members' lines first, reports older than 400ms not at all", got.kinds, want)
	}
}

func TestALineTakesThePlaceOfAWaitingOne(t *testing.T) {
	hardware := slowReader(100 * time.Millisecond)
	hardware.Order.Replaces = func(line machine.Message) string {
		return map[string]string{wire.KindHeartbeat: "worker"}[line.Kind]
	}
	w, _, to, got := pair(hardware)
	for _, from := range []string{"a", "a", "a", "c"} {
		w.deliver(to, machine.Message{Version: 1, Kind: wire.KindHeartbeat, From: from}, nil)
	}
	w.Run(2 * time.Second)
	if len(got.kinds) != 3 {
		t.Errorf("%d reports are taken, want 3: the one at work, the newest of a, and that of c", len(got.kinds))
	}
}

func TestAProcessThatReadsAheadHoldsNobodyUp(t *testing.T) {
	hardware := slowReader(500 * time.Millisecond)
	hardware.Order.ReadsAhead = true
	w, from, to, _ := pair(hardware)
	for range 4 {
		w.sendText(from, "x", 60_000)
	}
	w.Run(time.Second)
	if waits := len(to.processor.queue); waits != 3 || from.sender.peers[0].inFlight > 0 {
		t.Errorf("%d lines wait, want 3; %d bytes are on their way", waits, from.sender.peers[0].inFlight)
	}
}

func TestAPeerThatDoesNotReadHoldsTheWriterUp(t *testing.T) {
	w, from, to, got := pair(slowReader(time.Millisecond))
	w.Freeze(to)
	w.Run(time.Second)
	for range 4 {
		w.sendText(from, "x", 60_000)
	}
	w.Run(2 * time.Second)
	if sent := from.sender.peers[0].inFlight; sent > 100_000 {
		t.Errorf("%d bytes are on their way through a window of 100000", sent)
	}
	w.Run(4500 * time.Millisecond)
	if w.Logs["circuit_lost"] != 1 {
		t.Errorf("%d connections were given up after 3 s, want 1", w.Logs["circuit_lost"])
	}
	w.Wake(to)
	w.Run(8 * time.Second)
	if len(got.kinds) != 3 {
		t.Errorf("%d of 4 lines came; the one that did not go through the window in time is lost", len(got.kinds))
	}
}

func TestLargeLinesShareTheRate(t *testing.T) {
	w, from, _, got := pair(slowReader(time.Millisecond))
	w.sendText(from, "large", 500_000)
	w.sendText(from, "small", 10)
	w.Run(5 * time.Second)
	least, most := 500*time.Millisecond, 600*time.Millisecond
	if !slices.Equal(got.kinds, []string{"large", "small"}) || got.at[0] < least || got.at[0] > most {
		t.Errorf("got %v at %v, want the large line after 0.5 s", got.kinds, got.at)
	}
}

func TestAResetLosesWhatIsOnItsWayOnly(t *testing.T) {
	w, from, _, got := pair(slowReader(time.Millisecond))
	w.sendText(from, "before", 50_000)
	w.Run(10 * time.Millisecond)
	from.sender.peers[0].reset()
	w.sendText(from, "after", 10)
	w.Run(time.Second)
	if !slices.Equal(got.kinds, []string{"after"}) {
		t.Errorf("got %v, want what was sent after the reset", got.kinds)
	}
}

func TestAStalledDiskWaitsAndAFullOneEndsTheProcess(t *testing.T) {
	w, _, to, _ := pair(nil)
	to.disk = emptyDisk()
	to.diskStalls = true
	w.write(to, machine.Write{ID: 1, Records: []machine.Record{{Bucket: "b", Key: "k", Value: []byte("1")}}})
	w.Run(time.Second)
	if to.stored() != 0 {
		t.Error("a stalled disk has written a batch")
	}
	to.diskStalls = false
	w.Run(2 * time.Second)
	if to.stored() != 1 {
		t.Error("a disk that goes on has not written its batch")
	}
	to.diskFull = true
	w.write(to, machine.Write{ID: 2})
	if to.state != down {
		t.Error("a process whose write failed goes on")
	}
}
