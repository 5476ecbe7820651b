// Execution of the simulated cluster: time, steps of replicas, messages and disk writes.

package replica

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// advance advances time by d, with a write every writeInterval.
func (c *cluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += tickStep
		due := c.scheduled[c.now]
		delete(c.scheduled, c.now)
		for _, do := range due {
			do()
		}
		for _, h := range c.hosts {
			if h.replica != nil && h.replica.NextTimer() <= c.now-h.startedAt {
				c.step(h, machine.Input{})
			}
		}
		if c.now%c.writeInterval == 0 && !c.writerPaused {
			c.write()
		}
		if c.now%c.writeInterval == c.writeInterval/2 && c.readerRuns {
			c.readAll()
		}
		if c.now%(300*time.Millisecond) == 0 {
			c.gossip()
		}
	}
}

// schedule calls do after a delay.
func (c *cluster) schedule(d time.Duration, do func()) {
	at := (c.now + d).Truncate(tickStep)
	c.scheduled[at] = append(c.scheduled[at], do)
}

// step steps a replica and executes its output.
func (c *cluster) step(h *host, in machine.Input) {
	if h.frozen {
		if in.CompletedWrite > 0 || in.Message.Kind != "" {
			h.deferred = append(h.deferred, in)
		}
		return
	}
	if c.mutate != nil {
		c.mutate(h)
	}
	out := h.replica.Step(c.now-h.startedAt+time.Microsecond, in)
	incarnation := h.incarnation
	for _, e := range out.LogEvents {
		c.events[e.Name]++
		c.logf("%s %s %v", h.address, e.Name, e.Fields)
	}
	for _, message := range out.Messages {
		c.send(h, incarnation, message)
	}
	for _, write := range out.Writes {
		c.startWrite(h, incarnation, write)
	}
	if out.Stopped {
		c.kill(h)
	}
}

// send delivers a replica's message to a client or a proxy at once, or to another replica
// after its delay.
func (c *cluster) send(h *host, incarnation int, sent machine.OutgoingMessage) {
	switch {
	case h.incarnation != incarnation:
		// The process was killed while its output was being executed.
		return
	case slices.Contains(c.diskless, sent.To) && sent.Kind == wire.KindBootstrapProbe:
		c.replyWithoutDisk(h, incarnation, sent.To)
		return
	case sent.To == "reader":
		c.handleRead(h, sent)
		return
	case sent.To == "writer":
		c.handleAnswer(h, sent)
		return
	}
	to := c.host(sent.To)
	if to == nil || h.isolated {
		return
	}
	message := newMessage(sent.Kind, h.address, sent.Body)
	c.events["message "+sent.Kind+" to "+sent.To]++
	c.sendCounts[sent.Kind]++
	if c.onSend != nil {
		c.onSend(h.address, sent.To, message)
	}
	var delay time.Duration
	if c.delay != nil {
		if delay = c.delay(h.address, sent.To, sent.Kind); delay < 0 {
			return
		}
	}
	c.schedule(tickStep+delay+to.latency, func() {
		if to.replica != nil && !to.isolated && !h.isolated {
			c.step(to, machine.Input{Message: message})
		}
	})
}

// replyWithoutDisk makes a process without a disk answer a bootstrap probe.
func (c *cluster) replyWithoutDisk(h *host, incarnation int, address string) {
	member := wire.Member{ID: address, Address: address, Zone: c.zone(address)}
	body := wire.BootstrapStatus{Member: member, Empty: true, Proxy: true}
	reply := newMessage(wire.KindBootstrapReply, address, body)
	c.schedule(2*tickStep, func() {
		if h.replica != nil && h.incarnation == incarnation {
			c.step(h, machine.Input{Message: reply})
		}
	})
}

// startWrite syncs a batch after the time that the disk takes, and reports the completion to
// the process unless that has ended.
func (c *cluster) startWrite(h *host, incarnation int, write machine.Write) {
	report := func() {
		c.step(h, machine.Input{CompletedWrite: write.ID, SnapshotDue: h.disk.SnapshotDue()})
	}
	syncAfter := 3*tickStep + h.diskDelay
	reportAfter := syncAfter
	if c.earlySyncDisks {
		reportAfter = tickStep
	}
	c.schedule(syncAfter, func() {
		if h.incarnation == incarnation {
			c.syncDisk(h, write)
		}
		if h.incarnation == incarnation && reportAfter == syncAfter {
			report()
		}
	})
	if reportAfter < syncAfter {
		c.schedule(reportAfter, func() {
			if h.incarnation == incarnation {
				report()
			}
		})
	}
}

// syncDisk applies a batch to the disk and checks the views in it.
func (c *cluster) syncDisk(h *host, write machine.Write) {
	h.disk.Apply(write)
	if c.onSync != nil {
		defer c.onSync()
	}
	for _, record := range write.Records {
		if record.Bucket == bucketReplica && record.Key == keyAcceptor {
			c.checkSingleView(h, record.Value)
		}
	}
}

// gossip sends each replica the membership list.
func (c *cluster) gossip() {
	var nodes []wire.Node
	for _, h := range c.hosts {
		if h.replica != nil && !h.isolated {
			nodes = append(nodes, wire.Node{
				ID: h.replica.ID(), Role: wire.RoleReplica, Zone: c.zone(h.address), Address: h.address,
			})
		}
	}
	for _, h := range c.hosts {
		if h.replica != nil && !h.isolated {
			c.step(h, machine.Input{Message: newMessage(wire.KindNodeList, "", wire.Gossip{Nodes: nodes})})
		}
	}
}

func (c *cluster) logf(format string, args ...any) {
	c.log = append(c.log, fmt.Sprintf("%8.3f ", c.now.Seconds())+fmt.Sprintf(format, args...))
}

// recentLog returns the last lines of the log.
func (c *cluster) recentLog(count int) string {
	return strings.Join(c.log[max(0, len(c.log)-count):], "\n")
}
