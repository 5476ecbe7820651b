// The jobs that callers of the composition of centers hand in.

package sim

import (
	"fmt"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/state"
)

// job makes a job of steps, and writes it out for the oracle.
func (c *Centers) job(class, id string, steps []state.StepSpec, ms []int64, repeat state.Repeat) *caller {
	service := centerMain
	if class == "print" {
		service = centerOther
	}
	for i := range steps {
		if steps[i].Resources == (state.Resources{}) {
			steps[i].Resources = state.Resources{Slots: 1, MemoryMB: 1}
		}
	}
	payload := machine.MustJSON(map[string]any{"runMs": ms})
	one := &caller{turn: c.w.chance.IntN(64), asks: state.JobSpec{
		ID: id, Host: centerHost, Path: "/" + class + "/" + id, Payload: payload, Steps: steps, Repeat: repeat,
	}}
	one.spec = state.JobSpec{
		ID: id, Service: service, Class: class,
		Tasks: written(steps, max(1, repeat.Count), map[string]int{"long": 5}[class]),
	}
	c.callers, c.byID[id] = append(c.callers, one), one
	return one
}

// written is a job's steps written out as tasks, by the rule that the words of
// StepSpec give, apart from the ledger's own hand.
func written(steps []state.StepSpec, times, defects int) []state.TaskSpec {
	var out []state.TaskSpec
	for t := range times {
		for s, step := range steps {
			var after []string
			for _, dep := range step.DependsOn {
				for n := range steps[dep].Count {
					after = append(after, fmt.Sprintf("%d.%d.%d", t, dep, n))
				}
			}
			gang := ""
			if step.Gang {
				gang = fmt.Sprintf("%d.%d", t, s)
			}
			for n := range step.Count {
				out = append(out, state.TaskSpec{
					ID: fmt.Sprintf("%d.%d.%d", t, s, n), DependsOn: after, Resources: step.Resources, Labels: step.Labels, Gang: gang,
					MaxFailures: defects, Placement: step.Placement, Repetition: t, Step: s,
				})
			}
		}
	}
	return out
}

// find gives what was asked for by an attempt's name.
func (c *Centers) find(a state.Attempt) (task *state.TaskSpec, step int, due time.Time) {
	one := c.byID[a.Job]
	if one == nil {
		return nil, 0, due
	}
	for i, t := range one.spec.Tasks {
		if t.ID == a.Task {
			if r := one.asks.Repeat; r.Count > 0 {
				due = r.FirstAt.Add(time.Duration(t.Repetition) * r.Every.Duration)
			}
			return &one.spec.Tasks[i], t.Step, due
		}
	}
	return nil, 0, due
}

func (c *Centers) gangSize(job, gang string) int {
	count := 0
	for _, t := range c.byID[job].spec.Tasks {
		if t.Gang == gang {
			count++
		}
	}
	return count
}

func (c *Centers) traffic() {
	each := func(perSecond float64, do func(i int)) {
		at, i := 6*time.Second, 0
		for {
			at += time.Duration(c.w.chance.ExpFloat64() / perSecond * float64(time.Second))
			if at >= c.env.For {
				return
			}
			i++
			number := i
			c.w.At(at, func() { do(number) })
		}
	}
	give := func(one *caller, i int) {
		c.submit(one)
		if i%17 == 5 {
			c.w.After(time.Duration(c.w.chance.Int64N(int64(3*time.Second))), func() { c.cancel(one) })
		}
	}
	each(7, func(i int) {
		give(c.job("lookup", fmt.Sprintf("lookup-%d", i), []state.StepSpec{{Count: 1}}, []int64{60}, state.Repeat{}), i)
	})
	each(1.6, func(i int) {
		steps, ms := []state.StepSpec{{Count: 2}, {Count: 1, DependsOn: []int{0}}}, []int64{250, 250}
		switch i % 5 {
		case 1:
			steps = []state.StepSpec{
				{Count: 3, Gang: true, Placement: state.Placement{SameRack: true, Checkpointed: true}},
				{Count: 1, DependsOn: []int{0}},
			}
			ms = []int64{900, 100}
		case 2:
			steps = []state.StepSpec{{Count: 4, Placement: state.Placement{MaxPerWorker: 1}}, {Count: 2, Labels: []string{"ssd"}}}
			ms = []int64{800, 200}
		case 3:
			steps = []state.StepSpec{
				{Count: 1, Placement: state.Placement{PreferredRack: "r1"}},
				{Count: 2, Gang: true, DependsOn: []int{0}},
				{Count: 2, DependsOn: []int{0, 1}, Placement: state.Placement{AllowsDuplicates: true}},
			}
			ms = []int64{100, 400, 200}
		}
		give(c.job("batch", fmt.Sprintf("batch-%d", i), steps, ms, state.Repeat{}), i)
	})
	each(0.5, func(i int) {
		steps := []state.StepSpec{{
			Count: 2, Resources: state.Resources{Slots: 2, MemoryMB: 12},
			Placement: state.Placement{Checkpointed: true, ExpectedRunTime: millis(4000)},
		}}
		if i%3 == 0 {
			steps[0].AllowsDuplicates = true
		}
		give(c.job("long", fmt.Sprintf("long-%d", i), steps, []int64{4000}, state.Repeat{}), i)
	})
	each(0.6, func(i int) {
		give(c.job("print", fmt.Sprintf("print-%d", i), []state.StepSpec{
			{Count: 2, Resources: state.Resources{Slots: 3, MemoryMB: 30}},
			{Count: 1, DependsOn: []int{0}},
		}, []int64{600, 100}, state.Repeat{}), i)
	})
	each(0.25, func(i int) {
		repeat := state.Repeat{
			Count:   4,
			FirstAt: c.w.wall().Add(time.Duration(c.w.chance.IntN(3000)) * time.Millisecond).Truncate(time.Millisecond),
			Every:   millis(1200),
		}
		give(c.job("batch", fmt.Sprintf("repeated-%d", i),
			[]state.StepSpec{{Count: 2}, {Count: 1, DependsOn: []int{0}}}, []int64{150, 50}, repeat), i)
	})
	for i := range 2 {
		c.w.At(8*time.Second, func() {
			one := c.job("long", fmt.Sprintf("lasting-%d", i), []state.StepSpec{
				{Count: 2, Placement: state.Placement{LongRunning: true, Checkpointed: i == 0}},
			}, []int64{1 << 30}, state.Repeat{})
			c.submit(one)
			c.w.At(c.env.For-3*time.Second, func() { c.cancel(one) })
		})
	}
}
