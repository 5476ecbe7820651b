package leaderclient

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sorrelloom/core/status"
)

// TestRetriesAreBounded has 300 commands pending while the leader changes three times within
// 5 s and no leader answers any of them. Each command may be sent to each leader once.
func TestRetriesAreBounded(t *testing.T) {
	const commands, changes = 300, 3
	for seed := uint64(1); seed <= 20; seed++ {
		c := newCluster(t, seed)
		c.answerDelay = func() time.Duration { return time.Minute }
		for id := uint64(1); id <= commands; id++ {
			c.submit(id, 8*time.Second)
		}
		for change := 1; change <= changes; change++ {
			c.advance(500 * ms)
			c.leader, c.lastReplyAt = "", 0
			clear(c.outstanding)
			c.advance(1000 * ms)
			c.leader = fmt.Sprintf("k%d", change%3)
		}
		c.advance(500 * ms)
		if seed == 1 {
			t.Logf("%d sends of %d commands, %d probes", c.sends, commands, c.probes)
		}
		if most := maxInFlight * (changes + 1); c.sends > most {
			t.Errorf("seed %d: %d sends of %d commands, want at most %d", seed, c.sends, commands, most)
		}
		for id, n := range c.copies {
			if n > changes+1 {
				t.Errorf("seed %d: command %d was sent %d times", seed, id, n)
			}
		}
		if c.maxOutstanding > maxInFlight {
			t.Errorf("seed %d: %d commands were unanswered at the leader at a time", seed, c.maxOutstanding)
		}
		if c.probes > 200 {
			t.Errorf("seed %d: %d probes in %s", seed, c.probes, c.now)
		}
	}
}

// TestSlowLeaderIsKept has a leader answer everything after three seconds without falling
// silent: no command is sent twice, and the client keeps its primary.
func TestSlowLeaderIsKept(t *testing.T) {
	c := newCluster(t, 1)
	c.answerDelay = func() time.Duration { return 3 * time.Second }
	switches := c.switches
	for id := uint64(1); id <= 100; id++ {
		c.submit(id, 5*time.Second)
		c.advance(10 * ms)
	}
	c.advance(4 * time.Second)
	if c.switches != switches || c.sends != 100 {
		t.Errorf("%d switches and %d sends of 100 commands", c.switches-switches, c.sends)
	}
	for id := uint64(1); id <= 100; id++ {
		if a := c.answers[id]; a.Code != status.OK {
			t.Errorf("request %d: %+v", id, a)
		}
	}
}

// TestSilentLeaderIsReplacedWithinASecond freezes the leader just before a command is submitted,
// while another replica takes the lead at once. The command must be answered within a second.
func TestSilentLeaderIsReplacedWithinASecond(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		c := newCluster(t, seed)
		c.advance(time.Duration(seed) * 37 * ms)
		frozeAt := c.now
		c.frozen[c.leader], c.leader = true, "k1"
		c.submit(1, 5*time.Second)
		for c.answers[1].Code != status.OK || c.answeredAt[1] == 0 {
			if c.now-frozeAt > time.Second {
				t.Fatalf("seed %d: no answer after %s", seed, c.now-frozeAt)
			}
			c.advance(ms)
		}
	}
}

// TestNoLeader has no replica lead for 10 s: the number of probes is bounded, no command is
// sent, and a new leader is found within 350 ms.
func TestNoLeader(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		c := newCluster(t, seed)
		c.leader = ""
		before := c.probes
		for id := uint64(1); id <= 100; id++ {
			c.submit(id, time.Second)
			c.advance(100 * ms)
		}
		asked := c.probes - before
		if seed == 1 {
			t.Logf("%d probes in 10 s", asked)
		}
		if asked > 80 {
			t.Errorf("seed %d: %d probes", seed, asked)
		}
		sends := c.sends
		c.leader = "k1"
		from := c.now
		for !c.client.leader.confirmed {
			if c.advance(ms); c.now-from > 350*ms {
				t.Fatalf("seed %d: no leader was found within %s", seed, c.now-from)
			}
		}
		if sends > 20 { // sent before the client noticed that the leader was lost
			t.Errorf("seed %d: %d commands were sent", seed, sends)
		}
	}
}

// TestPendingCommandsAreSpread has the leader change while commands are pending: they must not
// arrive at the new leader in one burst.
func TestPendingCommandsAreSpread(t *testing.T) {
	c := newCluster(t, 1)
	c.leader = ""
	rng := rand.New(rand.NewPCG(1, 1))
	for id := uint64(1); id <= 200; id++ {
		c.submit(id, time.Duration(3000+rng.IntN(2000))*ms)
	}
	c.advance(900 * ms)
	first := len(c.arrivals)
	c.leader = "k1"
	c.advance(600 * ms)
	arrivals := c.arrivals[first:]
	if len(arrivals) < 200 {
		t.Fatalf("%d commands arrived, want 200", len(arrivals))
	}
	perStep := map[time.Duration]int{}
	for _, at := range arrivals[:200] {
		perStep[at/(10*ms)]++
	}
	for at, n := range perStep {
		if n > 40 {
			t.Errorf("%d commands arrive within 10 ms at %s", n, at*10*ms)
		}
	}
	if took := arrivals[199] - arrivals[0]; took > maxSpread+10*ms {
		t.Errorf("spread over %s", took)
	}
}

// TestOverloadIsRejectedEarly submits more commands than the leader can answer. Those that it
// can't serve must be rejected early, without having been sent.
func TestOverloadIsRejectedEarly(t *testing.T) {
	const wait = 2 * time.Second
	c := newCluster(t, 1)
	done := time.Duration(0)
	c.answerDelay = func() time.Duration { // 200 a second
		done = max(done, c.now) + 5*ms
		return done - c.now
	}
	submittedAt := map[uint64]time.Duration{}
	var id uint64
	for end := c.now + 6*time.Second; c.now < end; {
		for range 8 { // 800 a second
			id++
			submittedAt[id] = c.now
			c.submit(id, wait)
		}
		c.advance(10 * ms)
	}
	c.advance(3 * time.Second)
	served, rejected, unknown := 0, 0, 0
	for k := uint64(1); k <= id; k++ {
		result, ok := c.answers[k]
		switch held := c.answeredAt[k] - submittedAt[k]; {
		case !ok:
			t.Fatalf("request %d has no answer", k)
		case result.Code == status.OK:
			served++
		case result.Code == status.NoResponse:
			unknown++
		case result.Code != status.QueueFull || result.RetryAfter < retryAfter:
			t.Errorf("request %d: %+v", k, result)
		default:
			rejected++
			if held > wait/2 {
				t.Errorf("request %d was held for %s and then rejected", k, held)
			}
		}
	}
	t.Logf("%d submitted, %d served, %d rejected, %d of unknown outcome", id, served, rejected, unknown)
	if served < 1000 {
		t.Errorf("%d of %d served, although the leader can serve 200 a second", served, id)
	}
	if unknown > int(id)/20 {
		t.Errorf("%d of %d have an unknown outcome", unknown, id)
	}
	if c.sends > served+unknown {
		t.Errorf("%d sends for %d served", c.sends, served)
	}
}
