package replica

import (
	"testing"
	"time"

	"sorrelloom/core/state"
)

// silenceConfig makes tasks of a lost worker restart. A lease has expired 7 s after the worker
// was last heard, or 6 s after the run limit.
const silenceConfig = `{
 "services":{"s":{"classes":{"c":{"priority":1,"share":100,"runLimit":"1s","silence":"restart"}}}},
 "limits":{"lease":"6s","margin":"1s","startBy":"4s","silent":"2s"}}`

// leaseOneTask makes a worker start a task and returns its last heartbeat.
func leaseOneTask(c *cluster) state.Heartbeat {
	change := state.ConfigChange{Forced: true, Patch: true, Body: []byte(silenceConfig)}
	c.submit(state.Command{Kind: state.KindChangeConfig, ConfigChange: change})
	vote := state.SchedulerHeartbeat{Scheduler: "d", Zone: "z", Leadership: "dispatch/z", Candidate: "d"}
	c.submit(state.Command{Kind: state.KindSchedulerHeartbeat, SchedulerHeartbeat: vote})
	task := state.TaskSpec{ID: "t", Resources: state.Resources{Slots: 1}}
	spec := state.JobSpec{ID: "j", Service: "s", Class: "c", Tasks: []state.TaskSpec{task}}
	c.submit(state.Command{Kind: state.KindAcceptJob, Job: spec})
	heartbeat := state.Heartbeat{Worker: "w", Incarnation: 1, Number: 1, Service: "s", Free: state.Resources{Slots: 1}}
	c.submit(state.Command{Kind: state.KindHeartbeat, Heartbeat: heartbeat})
	c.submit(state.Command{Kind: state.KindGrantLeases, Grant: state.Grant{
		Leadership: "dispatch/z", Epoch: 1, Assignments: []state.Assignment{{Job: "j", Task: "t", Worker: "w"}},
	}})
	heartbeat.Number, heartbeat.Running = 2, []state.Attempt{{Job: "j", Task: "t", Number: 1}}
	c.submit(state.Command{Kind: state.KindHeartbeat, Heartbeat: heartbeat})
	c.advance(100 * time.Millisecond)
	return heartbeat
}

// outages are ways to make the cluster unable to receive a worker's heartbeats.
var outages = []struct {
	name       string
	begin, end func(c *cluster, primary *host)
}{
	{"the primary is frozen", (*cluster).freeze, (*cluster).thaw},
	{
		"the primary is isolated",
		func(c *cluster, primary *host) { c.cutMessages(primary, "both") },
		func(c *cluster, _ *host) { c.delay = nil },
	},
	{
		"all are killed",
		func(c *cluster, _ *host) {
			for _, h := range c.hosts {
				c.kill(h)
			}
		},
		func(c *cluster, _ *host) {
			for _, h := range c.hosts {
				c.start(h)
			}
		},
	},
}

// TestSilenceDuringOutage lets a worker complete its task during an outage longer than its
// lease, in which it cannot report: the only backup is down, and the primary cannot serve. The
// worker reports once a primary serves again. The lease must not be returned before that, since
// the task would run again.
func TestSilenceDuringOutage(t *testing.T) {
	for _, outage := range outages {
		t.Run(outage.name, func(t *testing.T) {
			c := newCluster(t)
			heartbeat := leaseOneTask(c)
			c.runOutage(outage.begin, outage.end)
			c.advance(time.Second)
			if c.primary() == nil {
				t.Fatalf("no replica serves\n%s", c.recentLog(20))
			}
			heartbeat.Number, heartbeat.Running = 3, nil
			attempt := state.Attempt{Job: "j", Task: "t", Number: 1}
			heartbeat.Ended = []state.AttemptResult{{Attempt: attempt, Succeeded: true}}
			job, _ := c.primary().replica.Store().Job("j")
			if task := job.Tasks[0]; !task.Lease.Held() || task.Losses > 0 {
				t.Errorf("the lease was returned before the worker could report: %+v", task)
			}
			c.submit(state.Command{Kind: state.KindHeartbeat, Heartbeat: heartbeat})
			job, _ = c.primary().replica.Store().Job("j")
			if job.State != state.Done {
				t.Errorf("the job is not done: %+v", job)
			}
		})
	}
}

// TestSilenceAfterOutage keeps a worker silent after an outage: its lease must be returned soon
// after the heartbeat timeout, which gives it time to report, is over.
func TestSilenceAfterOutage(t *testing.T) {
	for _, outage := range outages {
		t.Run(outage.name, func(t *testing.T) {
			c := newCluster(t)
			leaseOneTask(c)
			c.runOutage(outage.begin, outage.end)
			returned := func() bool {
				p := c.primary()
				if p == nil {
					return false
				}
				job, _ := p.replica.Store().Job("j")
				return job.Tasks[0].Losses == 1
			}
			// If all replicas are killed, state time does not advance during the outage.
			for from := c.now; !returned(); c.advance(tickStep) {
				if c.now-from > 12*time.Second {
					t.Fatalf("the lease was not returned\n%s", c.recentLog(20))
				}
			}
		})
	}
}

// runOutage kills the backup and runs an outage for 9 s, longer than a lease, in which no
// replica serves.
func (c *cluster) runOutage(begin, end func(c *cluster, primary *host)) {
	primary, backup := c.primary(), c.hostByRole("backup")
	c.kill(backup)
	begin(c, primary)
	c.advance(9 * time.Second)
	c.start(backup)
	end(c, primary)
}

// TestSilenceOfAllWorkers stops the heartbeats of all workers for longer than their leases, as if
// the primary and its backup were unreachable for them. No lease may be returned until one
// worker is heard again and the other has had the heartbeat timeout to report.
func TestSilenceOfAllWorkers(t *testing.T) {
	c := newCluster(t)
	leaseOneTask(c)
	other := state.Heartbeat{Worker: "w2", Incarnation: 1, Number: 1, Service: "s", Free: state.Resources{Slots: 1}}
	c.submit(state.Command{Kind: state.KindHeartbeat, Heartbeat: other})
	leased := func() bool {
		job, _ := c.primary().replica.Store().Job("j")
		return job.Tasks[0].Lease.Held()
	}
	c.advance(20 * time.Second)
	if !leased() {
		t.Error("the lease was returned while no worker was heard")
	}
	for n := range uint64(30) {
		other.Number = 2 + n
		c.submit(state.Command{Kind: state.KindHeartbeat, Heartbeat: other})
		if held := leased(); n < 18 && !held || n > 25 && held {
			t.Errorf("%d ms after one worker was heard again, the other's lease is held: %v", 100*n, held)
		}
		c.advance(100 * time.Millisecond)
	}
}
