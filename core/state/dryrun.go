package state

import (
	"cmp"
	"slices"

	"sorrelloom/core/config"
)

// DryRunRow compares one class under the current and under the proposed configuration.
type DryRunRow struct {
	Service   string        `json:"service"`
	Class     string        `json:"class"`
	Waiting   int           `json:"waiting"`
	UsedSlots int           `json:"usedSlots"`
	Current   DryRunOutcome `json:"now"`
	Proposed  DryRunOutcome `json:"then"`
}

// DryRunOutcome describes a class under one configuration. Known says that the configuration
// has the class. Order is the order policy's value for the class's longest-waiting task.
// Borrow says that the borrowing policy would grant one slot beyond the share.
type DryRunOutcome struct {
	Known      bool    `json:"known"`
	ShareSlots int     `json:"shareSlots"`
	Order      float64 `json:"order"`
	Borrow     bool    `json:"borrow"`
}

// waitingTasks holds the number of ready tasks of a class without a lease, and the order
// policy's input for the one that has waited longest.
type waitingTasks struct {
	count   int
	longest config.OrderInput
}

// DryRun evaluates a proposed configuration on the current tasks and leases, without changing
// the state. It returns a row for each class that either configuration has or that has ready
// tasks without a lease, ordered by service and class.
func (s *Store) DryRun(proposed config.Config) []DryRunRow {
	waiting := s.waitingByClass()
	classes := map[ClassKey]bool{}
	for _, c := range []config.Config{s.config, proposed} {
		for serviceName, service := range c.Services {
			for class := range service.Classes {
				classes[ClassKey{serviceName, class}] = true
			}
		}
	}
	for class := range waiting {
		classes[class] = true
	}
	proposedPolicies := proposed.Compile()
	rows := []DryRunRow{}
	for class := range classes {
		tasks := waiting[class]
		rows = append(rows, DryRunRow{
			Service: class.Service, Class: class.Class, Waiting: tasks.count,
			UsedSlots: s.ServiceLoad(class.Service).Used[class.Class],
			Current:   s.dryRunOutcome(s.config, s.policies, class, tasks.longest),
			Proposed:  s.dryRunOutcome(proposed, proposedPolicies, class, tasks.longest),
		})
	}
	slices.SortFunc(rows, func(a, b DryRunRow) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return rows
}

// waitingByClass collects the ready tasks without a lease by class.
func (s *Store) waitingByClass() map[ClassKey]waitingTasks {
	byClass := map[ClassKey]waitingTasks{}
	for _, job := range s.ActiveJobs() {
		class := job.Spec.classKey()
		for i, task := range job.Tasks {
			if task.State != Ready || task.Lease.Held() {
				continue
			}
			tasks := byClass[class]
			waited := (s.now - task.ReadyAt).Seconds()
			if tasks.count == 0 || waited > tasks.longest.WaitedSeconds {
				tasks.longest = config.OrderInput{
					Level: task.Level, WaitedSeconds: waited, Class: class.Class, Service: class.Service,
					Slots: job.Spec.Tasks[i].Resources.Slots,
				}
			}
			tasks.count++
			byClass[class] = tasks
		}
	}
	return byClass
}

// dryRunOutcome evaluates a class under a configuration and its compiled policies. longest is
// the order policy's input for the class's longest-waiting task.
func (s *Store) dryRunOutcome(
	c config.Config, policies config.CompiledPolicies, key ClassKey, longest config.OrderInput,
) DryRunOutcome {
	class, known := c.Services[key.Service].Classes[key.Class]
	load := s.ServiceLoad(key.Service)
	share, used := slotsOfShare(class.Share, load.Slots), load.Used[key.Class]
	longest.Priority, longest.Share, longest.Used = class.Priority, share, used
	return DryRunOutcome{
		Known: known, ShareSlots: share, Order: policies.Order(longest),
		Borrow: known && policies.Borrow(config.BorrowInput{
			Total: load.Slots, Idle: load.Idle, Requested: 1, Used: max(used, share), Share: share,
			Waiting: s.unmetDemand(key.Service, key.Class), Class: key.Class, Service: key.Service,
		}),
	}
}
