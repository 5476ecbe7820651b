// How long the whole fleet is without what a keeper's loss takes away.

package sim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/replica"
	"sorrelloom/core/wire"
)

// TestAnEmptyKeeperIsSeated gives each keeper's place to an empty machine, under
// traffic: at the same address, or at a new one that knows three fronts. Measured
// from when the machine can be reached until it has a seat by which is served.
func TestAnEmptyKeeperIsSeated(t *testing.T) {
	type row struct {
		who         string
		other       bool
		after       time.Duration
		bound, took time.Duration
	}
	var days []Env
	var rows []*row
	for i, who := range []string{"primary", "backup", "third"} {
		for _, r := range []row{
			{who, false, 0, 1500 * time.Millisecond, 0},
			{who, false, 2 * time.Second, 1500 * time.Millisecond, 0},
			{who, true, 0, 4 * time.Second, 0},
			{who, true, 2 * time.Second, 1500 * time.Millisecond, 0},
		} {
			e := env(t, []string{"reseller", "podcast"}[(i+len(days))%2], 1100+uint64(len(days)), "none")
			e.For = 20 * time.Second
			e.Prepare = func(s *Scenario) {
				s.w.At(12*time.Second, func() { empty(s, r.who, r.other, r.after, &r.took, r.bound) })
			}
			rows, days = append(rows, &r), append(days, e)
		}
	}
	for i, res := range PlayAll(days) {
		r := rows[i]
		name := fmt.Sprintf("%s lost, empty machine elsewhere=%v after %s, seed %d", r.who, r.other, r.after, days[i].Seed)
		if len(res.Broken) > 0 || r.took == 0 || r.took > r.bound {
			t.Errorf("%s: seated after %s, at most %s: %v", name, r.took, r.bound, res.Broken)
		}
		t.Logf("%s: seated after %s", name, r.took)
	}
}

// empty loses a keeper's machine and gives its place to an empty one; took is the
// time until that had its seat.
func empty(s *Scenario, who string, elsewhere bool, after time.Duration, took *time.Duration, bound time.Duration) {
	s.hurt(9 * time.Second)
	view := s.primary().main.(*replica.Replica).View()
	i := slices.IndexFunc(s.keepers, func(n *node) bool {
		id := n.main.(*replica.Replica).ID()
		return id == view.Primary.ID && who == "primary" || id == view.Backups[0].ID && who == "backup" || id != view.Primary.ID && id != view.Backups[0].ID && who == "third"
	})
	n := s.keepers[i]
	s.w.Wipe(n)
	s.w.After(after, func() {
		if elsewhere {
			var seeds []string
			for _, d := range s.daemons[len(s.daemons)-3:] {
				seeds = append(seeds, d.address)
			}
			fresh := s.w.Add("keeper", "keeper-new", n.site, "10.9.1.1:7000", seeds, nil)
			s.daemons[slices.Index(s.daemons, n)] = fresh
			n, s.keepers[i] = fresh, fresh
		} else {
			s.w.Boot(n)
		}
		from, id := s.w.Now, n.main.(*replica.Replica).ID()
		var look func()
		look = func() {
			if p := s.primary(); p != nil && slices.ContainsFunc(p.main.(*replica.Replica).View().Voters, func(w wire.Member) bool { return w.ID == id }) {
				*took = s.w.Now - from
			} else if s.w.Now-from > 2*bound {
				*took = 2 * bound
			} else {
				s.w.After(5*time.Millisecond, look)
			}
		}
		look()
	})
}
