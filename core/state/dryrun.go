// A dry run says what a plan would change for what waits and runs right now,
// class by class, without changing anything.

package state

import (
	"sort"

	"sorrelloom/core/config"
)

// DryRow is one class under the plan in force and under the one on trial. Order
// is the policy's result for the task that has waited longest, Borrow whether
// one slot more than the share would be lent.
type DryRunRow struct {
	Service   string        `json:"service"`
	Class     string        `json:"class"`
	Waiting   int           `json:"waiting"`
	UsedSlots int           `json:"usedSlots"`
	Current   DryRunOutcome `json:"now"`
	Proposed  DryRunOutcome `json:"then"`
}

type DryRunOutcome struct {
	Known      bool    `json:"known"`
	ShareSlots int     `json:"shareSlots"`
	Order      float64 `json:"order"`
	Borrow     bool    `json:"borrow"`
}

// DryRun compares the plan in force with another.
func (l *Store) DryRun(next config.Config) []DryRunRow {
	type oldest struct {
		waiting int
		names   config.OrderInput
	}
	heads := map[[2]string]oldest{}
	for _, job := range l.ActiveJobs() {
		for i, t := range job.Tasks {
			if t.State != Ready || t.Lease.Held() {
				continue
			}
			key := [2]string{job.Spec.Service, job.Spec.Class}
			h := heads[key]
			if waited := (l.now - t.ReadyAt).Seconds(); h.waiting == 0 || waited > h.names.WaitedSeconds {
				h.names = config.OrderInput{Level: t.Level, WaitedSeconds: waited, Class: key[1], Service: key[0], Slots: job.Spec.Tasks[i].Resources.Slots}
			}
			h.waiting++
			heads[key] = h
		}
	}
	keys := map[[2]string]bool{}
	for _, p := range []config.Config{l.config, next} {
		for service, s := range p.Services {
			for class := range s.Classes {
				keys[[2]string{service, class}] = true
			}
		}
	}
	for key := range heads {
		keys[key] = true
	}
	rows := []DryRunRow{}
	for key := range keys {
		h := heads[key]
		row := DryRunRow{Service: key[0], Class: key[1], Waiting: h.waiting, UsedSlots: l.ServiceLoad(key[0]).Used[key[1]]}
		row.Current = l.dryRunOutcome(l.config, l.policies, key, h.names)
		row.Proposed = l.dryRunOutcome(next, next.Compile(), key, h.names)
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool {
		return rows[i].Service < rows[j].Service || rows[i].Service == rows[j].Service && rows[i].Class < rows[j].Class
	})
	return rows
}

func (l *Store) dryRunOutcome(p config.Config, rules config.CompiledPolicies, key [2]string, names config.OrderInput) DryRunOutcome {
	class, known := p.Services[key[0]].Classes[key[1]]
	b := l.ServiceLoad(key[0])
	share, used := (b.Slots*class.Share+99)/100, b.Used[key[1]]
	names.Priority, names.Share, names.Used = class.Priority, share, used
	return DryRunOutcome{
		Known: known, ShareSlots: share, Order: rules.Order(names),
		Borrow: known && rules.Borrow(config.BorrowInput{
			Total: b.Slots, Idle: b.Idle, Requested: 1, Used: max(used, share), Share: share,
			Waiting: l.UnmetDemand(key[0], key[1]), Class: key[1], Service: key[0],
		}),
	}
}
