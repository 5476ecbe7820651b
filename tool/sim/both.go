// What both compositions do alike: who leads, whose disks are there, when nobody
// served, when a request could first be heard, and when the faults of a day come.

package sim

import (
	"time"

	"sorrelloom/core/control"
	"sorrelloom/core/replica"
	"sorrelloom/core/wire"
)

const (
	watchEach  = 50 * time.Millisecond
	listenEach = 20 * time.Millisecond
	listenFrom = 2 * time.Millisecond
)

// keeper gives the keeper of a process that has one.
func (n *node) keeper() *replica.Replica {
	switch m := n.main.(type) {
	case *replica.Replica:
		return m
	case *control.Control:
		return m.Replica()
	}
	return nil
}

// primaryOf is the process whose keeper serves, if any.
func primaryOf(nodes []*node) *node {
	for _, n := range nodes {
		if k := n.keeper(); k != nil && n.state == up && k.Serving() {
			return n
		}
	}
	return nil
}

// seatedIn says whether every witness of the newest view is a keeper that is up:
// only then may another disk be lost.
func seatedIn(nodes []*node) bool {
	var newest wire.View
	alive := map[string]bool{}
	for _, n := range nodes {
		k := n.keeper()
		if k == nil || n.state != up {
			continue
		}
		alive[k.ID()] = true
		if v := k.View(); v.Epoch > newest.Epoch {
			newest = v
		}
	}
	for _, w := range newest.Voters {
		if !alive[w.ID] {
			return false
		}
	}
	return newest.Epoch > 0
}

// watchIdle notes the times in which nobody serves.
func (n *notes) watchIdle(w *World, primary func() *node) {
	if primary() == nil {
		if k := len(n.idle); k > 0 && n.idle[k-1][1] >= w.Now {
			n.idle[k-1][1] = w.Now + watchEach
		} else {
			n.idle = append(n.idle, [2]time.Duration{w.Now, w.Now + watchEach})
		}
	}
	w.After(watchEach, func() { n.watchIdle(w, primary) })
}

// slowAt notes a time in which speed is not judged.
func (n *notes) slowAt(now, d time.Duration) {
	n.faulty = append(n.faulty, [2]time.Duration{now - 2*time.Second, now + d})
}

// hearing is an operator's request until it has its answer.
type hearing struct {
	at       time.Duration
	answered bool
}

// listen notes when a request first stands where it could be heard.
func (n *notes) listen(w *World, could func() bool) *hearing {
	h := &hearing{}
	var look func()
	look = func() {
		switch {
		case h.answered || h.at > 0 || w.Now >= n.end:
		case could():
			h.at = w.Now
		default:
			w.After(listenEach, look)
		}
	}
	w.After(listenFrom, look)
	return h
}

// answer ends a request, and says when it could first be heard.
func (h *hearing) answer(now time.Duration) time.Duration {
	h.answered = true
	if h.at == 0 {
		h.at = now
	}
	return h.at
}

// drawFaults puts faults of the day's kinds on the agenda, at times by chance.
func (w *World) drawFaults(e Env, play func(kind string)) {
	at := 12 * time.Second
	for len(e.Faults) > 0 && at < e.For-5*time.Second {
		kind := e.Faults[w.chance.IntN(len(e.Faults))]
		w.At(at, func() { play(kind) })
		at += time.Duration(1500+w.chance.IntN(5000)) * time.Millisecond
	}
}

// slowDisk makes a disk 300 times slower for a while.
func (w *World) slowDisk(n *node, d time.Duration) {
	w.say("slow disk %s", n.name)
	n.diskSlow = 300
	w.After(d, func() { n.diskSlow = 1 })
}

// isolateFor takes a process off the network for a while.
func (w *World) isolateFor(n *node, d time.Duration) {
	w.say("isolate %s", n.name)
	w.Isolate(n.address)
	w.After(d, func() {
		w.say("reconnect %s", n.name)
		w.Reconnect(n.address)
	})
}
