// Clients of the simulated cluster that write and read its configuration.

package replica

import (
	"fmt"
	"strings"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// write sends a configuration change to every running replica that is not isolated.
func (c *cluster) write() {
	for _, h := range c.hosts {
		if h.replica == nil || h.isolated {
			continue
		}
		c.lastRequest++
		change := state.ConfigChange{
			Forced: true, Patch: true, Body: fmt.Appendf(nil, `{"limits":{"keep":"%dm"}}`, 10+c.lastRequest),
		}
		cmd := state.Command{Kind: state.KindChangeConfig, ConfigChange: change}
		c.sendCommand(h, "writer", wire.CommandRequest{ID: c.lastRequest, Command: cmd})
	}
}

// sendCommand delivers a client's command to a replica.
func (c *cluster) sendCommand(h *host, from string, body wire.CommandRequest) {
	c.step(h, machine.Input{Message: newMessage(wire.KindCommand, from, body)})
}

// writeRepeatedly writes count times, once per millisecond.
func (c *cluster) writeRepeatedly(count int) {
	for range count {
		c.write()
		c.advance(tickStep)
	}
}

// handleAnswer records the answer to a write and checks that no two writes got the same
// version.
func (c *cluster) handleAnswer(h *host, s machine.OutgoingMessage) {
	b, ok := s.Body.(wire.CommandReply)
	if ok && b.Result.Code == status.NotPrimary {
		c.rejected[h.address]++
	}
	if !ok || h.isolated || b.Result.Code == status.NotPrimary {
		return
	}
	if !b.Result.Code.IsSuccess() {
		c.t.Fatalf("a write was rejected: %+v", b.Result)
	}
	if other, ok := c.answered[b.Result.ConfigVersion]; ok && other != b.ID {
		c.t.Errorf("version %d was answered to both request %d and request %d", b.Result.ConfigVersion, other, b.ID)
	}
	c.answered[b.Result.ConfigVersion] = b.ID
	c.longestGap, c.lastAnswerAt = max(c.longestGap, c.now-c.lastAnswerAt), c.now
}

// advanceToAnswer advances time until a write has just been answered.
func (c *cluster) advanceToAnswer() {
	for c.advance(tickStep); c.lastAnswerAt != c.now; {
		c.advance(tickStep)
	}
}

// waitForAnswer returns how long it takes until a write is answered, and false if that takes
// longer than d.
func (c *cluster) waitForAnswer(d time.Duration) (time.Duration, bool) {
	from := c.now
	for c.now-from < d {
		c.advance(tickStep)
		if c.lastAnswerAt > from {
			return c.now - from, true
		}
	}
	return d, false
}

// newestAnswered returns the newest configuration version that was answered to a write.
func (c *cluster) newestAnswered() (newest uint64) {
	for version := range c.answered {
		newest = max(newest, version)
	}
	return newest
}

// readAll sends a read of the configuration to every running replica that is not isolated.
func (c *cluster) readAll() {
	for _, h := range c.hosts {
		if h.replica == nil || h.isolated {
			continue
		}
		c.lastRequest++
		c.readFloors[c.lastRequest] = c.newestAnswered()
		body := wire.CommandRequest{ID: c.lastRequest, Command: state.Command{Kind: state.KindReadConfig}}
		c.sendCommand(h, "reader", body)
	}
}

// handleRead checks that a read returns no older version than the newest one that had been
// answered when the read was sent.
func (c *cluster) handleRead(h *host, s machine.OutgoingMessage) {
	b, ok := s.Body.(wire.CommandReply)
	if !ok || b.Result.Code == status.NotPrimary {
		return
	}
	if c.onRead != nil {
		c.onRead(h, b)
	}
	if want := c.readFloors[b.ID]; b.Result.ConfigVersion < want {
		c.t.Errorf("%s returned version %d at %s; version %d had been answered before the read was sent",
			h.address, b.Result.ConfigVersion, c.now, want)
	}
}

// classConfig is a configuration with one job class.
const classConfig = `{"services":{"s":{"classes":{"c":{"priority":1,"share":100}}}}}`

// submit submits a command in the primary's own process.
func (c *cluster) submit(cmd state.Command) {
	c.t.Helper()
	p := c.primary()
	if p == nil {
		c.t.Fatalf("no replica leads\n%s", c.recentLog(20))
	}
	var out machine.Output
	p.replica.Submit(c.now-p.startedAt+time.Microsecond, 0, cmd, &out)
	if cmd.Kind == state.KindAcceptJob {
		if job, ok := p.replica.Store().Job(cmd.Job.ID); !ok {
			c.t.Fatalf("job %s was not accepted: %v", cmd.Job.ID, job)
		}
	}
}

// acceptJobs submits the given number of jobs of 2 KB each.
func (c *cluster) acceptJobs(jobs int) {
	c.t.Helper()
	change := state.ConfigChange{Forced: true, Patch: true, Body: []byte(classConfig)}
	c.submit(state.Command{Kind: state.KindChangeConfig, ConfigChange: change})
	payload := machine.MustJSON(strings.Repeat("x", 2000))
	for n := range jobs {
		task := state.TaskSpec{ID: "t", Resources: state.Resources{Slots: 1}, Payload: payload}
		spec := state.JobSpec{ID: fmt.Sprintf("j%05d", n), Service: "s", Class: "c", Tasks: []state.TaskSpec{task}}
		c.submit(state.Command{Kind: state.KindAcceptJob, Job: spec})
		c.advance(2 * tickStep)
	}
	c.advance(200 * time.Millisecond)
}

// submitTicks submits count small commands, four per millisecond.
func (c *cluster) submitTicks(count int) {
	for n := range count {
		c.submit(state.Command{Kind: state.KindTick})
		if n%4 == 0 {
			c.advance(tickStep)
		}
	}
	c.advance(100 * time.Millisecond)
}

// newMessage returns a message as it arrives from another process.
func newMessage(kind, from string, body any) machine.Message {
	return machine.Message{
		Version: machine.ProtocolVersion, Kind: kind, From: from, Body: machine.MustMarshal(body),
	}
}
