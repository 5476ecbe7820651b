package leaderclient

import (
	"testing"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
)

// networkDelay is how long a message takes between the client and a replica.
const networkDelay = 2 * ms

// cluster is a client and three simulated replicas of which at most one leads. The leader
// answers commands in order, each after the time that answerDelay returns.
type cluster struct {
	*testing.T
	client      *Client
	now         time.Duration
	leader      string
	frozen      map[string]bool
	answerDelay func() time.Duration
	scheduled   map[time.Duration][]func()

	// sends and probes count the commands and probes that arrived, copies counts the commands
	// by ID, and arrivals are the arrival times of commands.
	sends    int
	probes   int
	copies   map[uint64]int
	arrivals []time.Duration
	// outstanding are the unanswered commands at the leader, maxOutstanding their maximum
	// number at any time.
	outstanding    map[uint64]bool
	maxOutstanding int
	// answers are the client's answers by request ID; switches counts its changes of primary.
	answers     map[uint64]state.Result
	answeredAt  map[uint64]time.Duration
	switches    int
	lastReplyAt time.Duration
}

// newCluster returns a cluster in which k0 leads, after 100 ms in which the client finds it.
func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{
		T:           t,
		client:      New(Config{Address: "client", Replicas: []string{"k0", "k1", "k2"}, FirstCommandID: seed}),
		leader:      "k0",
		frozen:      map[string]bool{},
		answerDelay: func() time.Duration { return 10 * ms },
		scheduled:   map[time.Duration][]func(){},
		copies:      map[uint64]int{},
		outstanding: map[uint64]bool{},
		answers:     map[uint64]state.Result{},
		answeredAt:  map[uint64]time.Duration{},
	}
	c.step(machine.Input{})
	c.advance(100 * ms)
	return c
}

// after schedules a function call after a delay, with a resolution of 1 ms.
func (c *cluster) after(d time.Duration, do func()) {
	at := (c.now + max(d, ms)).Truncate(ms)
	c.scheduled[at] = append(c.scheduled[at], do)
}

// step makes the client handle one input.
func (c *cluster) step(in machine.Input) {
	primary := c.client.leader.primary
	out := c.client.Step(c.now, in)
	if primary != c.client.leader.primary {
		c.switches++
	}
	for _, response := range out.Responses {
		id := response.RequestID
		if _, twice := c.answers[id]; twice {
			c.Errorf("request %d is answered twice", id)
		}
		c.answers[id], c.answeredAt[id] = response.Body.(state.Result), c.now
	}
	for _, message := range out.Messages {
		request := message.Body.(wire.CommandRequest)
		c.after(networkDelay, func() { c.arrive(message.To, request) })
	}
}

// arrive delivers a command or a probe to a replica.
func (c *cluster) arrive(replica string, request wire.CommandRequest) {
	isProbe := request.Command.Kind == state.KindConfirmLeadership
	if isProbe {
		c.probes++
	} else {
		c.sends++
		c.copies[request.ID]++
		c.arrivals = append(c.arrivals, c.now)
	}
	if c.frozen[replica] {
		return
	}
	reply := wire.CommandReply{ID: request.ID}
	if replica != c.leader {
		reply.Primary, reply.Result.Code = c.leader, status.NotPrimary
		c.reply(replica, 0, reply)
		return
	}
	if isProbe {
		received := reply
		received.Received, received.Result.Code = true, status.ReplicasUnavailable
		c.reply(replica, 0, received)
	} else {
		c.outstanding[request.ID] = true
		c.maxOutstanding = max(c.maxOutstanding, len(c.outstanding))
	}
	c.lastReplyAt = max(c.lastReplyAt, c.now+c.answerDelay())
	reply.Result = state.Result{Code: status.OK, Time: c.now}
	c.reply(replica, c.lastReplyAt-c.now, reply)
}

// reply sends a reply after a delay, unless the replica is frozen or has lost its leadership
// by then.
func (c *cluster) reply(replica string, delay time.Duration, reply wire.CommandReply) {
	leads := c.leader == replica
	c.after(delay, func() {
		if c.frozen[replica] || leads && c.leader != replica {
			return
		}
		if !reply.Received {
			delete(c.outstanding, reply.ID)
		}
		c.after(networkDelay, func() {
			c.step(machine.Input{Message: machine.Message{
				Version: 1, Kind: wire.KindCommandReply, From: replica, Body: machine.MustMarshal(reply),
			}})
		})
	})
}

// advance lets time pass, with a step whenever the client's timer is due.
func (c *cluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += ms
		due := c.scheduled[c.now]
		delete(c.scheduled, c.now)
		for _, do := range due {
			do()
		}
		if c.client.NextTimer() <= c.now {
			c.step(machine.Input{})
		}
	}
}

// submit makes a request with a command.
func (c *cluster) submit(requestID uint64, wait time.Duration) {
	command := state.Command{Kind: state.KindAcceptJob}
	c.step(machine.Input{Request: machine.Request{ID: requestID, Kind: RequestCommand, Decoded: command, Wait: wait}})
}
