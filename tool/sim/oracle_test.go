// Every check of the oracle is shown able to fail: each row is a short history
// that breaks one promise and no other, beside the same history kept whole.
package sim

import (
	"testing"
	"time"

	"sorrelloom/core/ledger"
	"sorrelloom/tool/worker"
)

const second = time.Second

// history is two workers, one of them with a label, and one two-step job.
func history() *notes {
	job := &caller{spec: ledger.JobSpec{ID: "j", Service: "tickets", Class: "check", Tasks: []ledger.TaskSpec{
		{ID: "a", Room: ledger.Room{Slots: 1}}, {ID: "b", After: []string{"a"}, Room: ledger.Room{Slots: 1}},
	}}, sentAt: second, acceptedAt: second, state: ledger.Done, overAt: 20 * second, dependable: true}
	n := &notes{hands: map[string]*hand{}, callers: []*caller{job}, end: 60 * second}
	for _, id := range []string{"w1", "w2"} {
		e := worker.Env{ID: id, Site: "a", Service: "tickets", Total: ledger.Room{Slots: 1}}
		n.hands[id] = &hand{env: e, w: worker.New(e), acked: map[ledger.Attempt]time.Duration{}}
	}
	n.add("a", 1, "w1", 2*second, 4*second, "good")
	n.add("b", 1, "w1", 5*second, 8*second, "good")
	return n
}

func (n *notes) add(task string, try int, on string, from, to time.Duration, outcome string) *run {
	a := ledger.Attempt{Job: "j", Task: task, Try: try}
	n.runs = append(n.runs, run{Run: worker.Run{Attempt: a, Worker: on, Room: ledger.Room{Slots: 1}, Outcome: outcome}, from: from, to: to})
	if outcome == "good" {
		n.hands[on].acked[a] = to + 10*time.Millisecond
	}
	return &n.runs[len(n.runs)-1]
}

func TestEveryCheckCanFail(t *testing.T) {
	table := []struct {
		check string
		spoil func(n *notes)
	}{
		{"", func(n *notes) {}},
		{"job-forgotten", func(n *notes) { n.callers[0].forgotten = 9 * second }},
		{"twice-at-once", func(n *notes) { n.add("b", 2, "w2", 6*second, 7*second, "stopped") }},
		{"again-after-good", func(n *notes) { n.add("b", 2, "w2", 9*second, 10*second, "stopped") }},
		{"before-dependency", func(n *notes) {
			n.runs[1].from = 3 * second
			n.runs[1].Worker = "w2"
			n.hands["w2"].acked = n.hands["w1"].acked
		}},
		{"wrong-worker", func(n *notes) { n.callers[0].spec.Tasks[1].Labels = []string{"gpu"} }},
		{"wrong-worker", func(n *notes) { n.callers[0].spec.Service = "podcasts" }},
		{"over-room", func(n *notes) { n.runs[1].Room.Slots = 2 }},
		{"defects-spent", func(n *notes) {
			n.callers[0].spec.Tasks[0].AllowedDefects = 1
			n.add("a", 0, "w2", second, 1500*time.Millisecond, "bad")
		}},
		{"gang-alone", func(n *notes) {
			n.callers[0].spec.Tasks = []ledger.TaskSpec{{ID: "a", Gang: "g"}, {ID: "b", Gang: "g"}}
			n.runs = n.runs[:1]
			n.runs[0].Gang, n.runs[0].to = "g", 15*second
		}},
		{"start-while-draining", func(n *notes) { n.hands["w1"].lefts = [][2]time.Duration{{2500 * time.Millisecond, 30 * second}} }},
		{"start-in-emptied-site", func(n *notes) { n.empties = []*emptied{{site: "a", from: -1 * second}} }},
		{"start-after-cancel", func(n *notes) { n.callers[0].cancelAt = second }},
		{"finished-with-open-task", func(n *notes) { n.callers[0].overAt = 3 * second }},
		{"finished-with-open-task", func(n *notes) { n.callers[0].early = "b" }},
		{"quick-behind-batch", func(n *notes) {
			n.callers[0].spec.Class, n.runs[0].from, n.runs[0].to = "lookup", 4*second, 4500*time.Millisecond
		}},
		{"long-unfinished", func(n *notes) { n.callers[0].overAt = 0 }},
		{"long-unfinished", func(n *notes) { n.callers[0].state = ledger.Failed }},
		{"not-served-again", func(n *notes) { n.callers[0].probe, n.callers[0].acceptedAt = true, 5*second }},
	}
	for _, row := range table {
		n := history()
		row.spoil(n)
		n.judge()
		n.drained()
		if row.check == "" && len(n.broken) > 0 {
			t.Errorf("the whole history is found broken: %v", n.broken)
		}
		if row.check != "" && len(n.broken) == 0 {
			t.Errorf("%s: nothing was found", row.check)
		}
		for _, b := range n.broken {
			if b.Check != row.check {
				t.Errorf("%s: found %s: %s", row.check, b.Check, b.Why)
			}
		}
	}
}
