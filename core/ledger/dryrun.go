// A dry run says what a plan would change for what waits and runs right now,
// class by class, without changing anything.
package ledger

import (
	"sort"

	"sorrelloom/core/plan"
)

// DryRow is one class under the plan in force and under the one on trial. Order
// is the policy's result for the task that has waited longest, Borrow whether
// one slot more than the share would be lent.
type DryRow struct {
	Service string  `json:"service"`
	Class   string  `json:"class"`
	Waiting int     `json:"waiting"`
	Used    int     `json:"usedSlots"`
	Now     DrySide `json:"now"`
	Then    DrySide `json:"then"`
}

type DrySide struct {
	Known  bool    `json:"known"`
	Share  int     `json:"shareSlots"`
	Order  float64 `json:"order"`
	Borrow bool    `json:"borrow"`
}

// DryRun compares the plan in force with another.
func (l *Ledger) DryRun(next plan.Plan) []DryRow {
	type oldest struct {
		waiting int
		names   plan.OrderNames
	}
	heads := map[[2]string]oldest{}
	for _, job := range l.Active() {
		for i, t := range job.Tasks {
			if t.State != Open || t.Turn.Held() {
				continue
			}
			key := [2]string{job.Spec.Service, job.Spec.Class}
			h := heads[key]
			if waited := (l.at - t.ReleasedAt).Seconds(); h.waiting == 0 || waited > h.names.Waited {
				h.names = plan.OrderNames{Level: t.Level, Waited: waited, Class: key[1], Service: key[0], Slots: job.Spec.Tasks[i].Room.Slots}
			}
			h.waiting++
			heads[key] = h
		}
	}
	keys := map[[2]string]bool{}
	for _, p := range []plan.Plan{l.plan, next} {
		for service, s := range p.Services {
			for class := range s.Classes {
				keys[[2]string{service, class}] = true
			}
		}
	}
	for key := range heads {
		keys[key] = true
	}
	rows := []DryRow{}
	for key := range keys {
		h := heads[key]
		row := DryRow{Service: key[0], Class: key[1], Waiting: h.waiting, Used: l.Busyness(key[0]).Used[key[1]]}
		row.Now = l.drySide(l.plan, l.rules, key, h.names)
		row.Then = l.drySide(next, next.Compile(), key, h.names)
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool {
		return rows[i].Service < rows[j].Service || rows[i].Service == rows[j].Service && rows[i].Class < rows[j].Class
	})
	return rows
}

func (l *Ledger) drySide(p plan.Plan, rules plan.Rules, key [2]string, names plan.OrderNames) DrySide {
	class, known := p.Services[key[0]].Classes[key[1]]
	b := l.Busyness(key[0])
	share, used := (b.Slots*class.Share+99)/100, b.Used[key[1]]
	names.Priority, names.Share, names.Used = class.Priority, share, used
	return DrySide{
		Known: known, Share: share, Order: rules.Order(names),
		Borrow: known && rules.Borrow(plan.BorrowNames{
			Total: b.Slots, Idle: b.Idle, Asked: 1, Used: max(used, share), Share: share,
			Waiting: l.Owed(key[0], key[1]), Class: key[1], Service: key[0],
		}),
	}
}
