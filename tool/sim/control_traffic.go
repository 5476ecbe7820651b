package sim

import (
	"fmt"
	"time"

	"sorrelloom/core/state"
)

// Mean arrival rates, in jobs per second.
const (
	lookupRate   = 7
	batchRate    = 1.6
	longRate     = 0.5
	printRate    = 0.6
	repeatedRate = 0.25
)

// longRunningMillis is the nominal run time of long-running tasks: longer than any scenario.
const longRunningMillis = 1 << 30

// scheduleTraffic schedules arrivals of each kind of job until the end of Duration.
func (s *ControlScenario) scheduleTraffic() {
	s.scheduleArrivals(lookupRate, s.submitLookup)
	s.scheduleArrivals(batchRate, s.submitBatch)
	s.scheduleArrivals(longRate, s.submitLong)
	s.scheduleArrivals(printRate, s.submitPrint)
	s.scheduleArrivals(repeatedRate, s.submitRepeated)
	for i := range 2 {
		s.world.At(8*time.Second, func() { s.submitLongRunning(i) })
	}
}

// scheduleArrivals schedules the arrivals of an open Poisson process, numbered from 1.
func (s *ControlScenario) scheduleArrivals(perSecond float64, submit func(number int)) {
	at := trafficFrom
	for number := 1; ; number++ {
		at += time.Duration(s.world.rng.ExpFloat64() / perSecond * float64(time.Second))
		if at >= s.options.Duration {
			return
		}
		s.world.At(at, func() { submit(number) })
	}
}

// submitNumbered submits a job, and cancels it if isCancelled selects its number.
func (s *ControlScenario) submitNumbered(job *clientJob, number int) {
	s.submit(job)
	if isCancelled(number) {
		delay := time.Duration(s.world.rng.Int64N(int64(cancelDelayMax)))
		s.world.After(delay, func() { s.cancel(job) })
	}
}

// submitLookup submits a quick job of one task.
func (s *ControlScenario) submitLookup(number int) {
	job := s.newJob(classLookup, fmt.Sprintf("lookup-%d", number),
		[]state.StepSpec{{Count: 1}}, []int64{60}, state.Repeat{})
	s.submitNumbered(job, number)
}

// submitBatch submits a job of several steps. Depending on its number, it has gangs or
// placement constraints.
func (s *ControlScenario) submitBatch(number int) {
	steps, runMillis := []state.StepSpec{{Count: 2}, {Count: 1, DependsOn: []int{0}}}, []int64{250, 250}
	switch number % 5 {
	case 1:
		steps = []state.StepSpec{
			{Count: 3, Gang: true, Placement: state.Placement{SameRack: true, Checkpointed: true}},
			{Count: 1, DependsOn: []int{0}},
		}
		runMillis = []int64{900, 100}
	case 2:
		steps = []state.StepSpec{
			{Count: 4, Placement: state.Placement{MaxPerWorker: 1}},
			{Count: 2, Labels: []string{"ssd"}},
		}
		runMillis = []int64{800, 200}
	case 3:
		steps = []state.StepSpec{
			{Count: 1, Placement: state.Placement{PreferredRack: "r1"}},
			{Count: 2, Gang: true, DependsOn: []int{0}},
			{Count: 2, DependsOn: []int{0, 1}, Placement: state.Placement{AllowsDuplicates: true}},
		}
		runMillis = []int64{100, 400, 200}
	}
	job := s.newJob(classBatch, fmt.Sprintf("batch-%d", number), steps, runMillis, state.Repeat{})
	s.submitNumbered(job, number)
}

// submitLong submits checkpointed tasks with a long run time. Every third job allows duplicate
// runs.
func (s *ControlScenario) submitLong(number int) {
	steps := []state.StepSpec{{
		Count: 2, Resources: state.Resources{Slots: 2, MemoryMB: 12},
		Placement: state.Placement{Checkpointed: true, ExpectedRunTime: millis(4000)},
	}}
	steps[0].AllowsDuplicates = number%3 == 0
	job := s.newJob(classLong, fmt.Sprintf("long-%d", number), steps, []int64{4000}, state.Repeat{})
	s.submitNumbered(job, number)
}

// submitPrint submits a job of otherService.
func (s *ControlScenario) submitPrint(number int) {
	steps := []state.StepSpec{
		{Count: 2, Resources: state.Resources{Slots: 3, MemoryMB: 30}},
		{Count: 1, DependsOn: []int{0}},
	}
	job := s.newJob(classPrint, fmt.Sprintf("print-%d", number), steps, []int64{600, 100}, state.Repeat{})
	s.submitNumbered(job, number)
}

// submitRepeated submits a job with scheduled repetitions.
func (s *ControlScenario) submitRepeated(number int) {
	repeat := state.Repeat{
		Count:   4,
		FirstAt: s.world.wallTime().Add(s.world.randomMillis(0, 3000)).Truncate(time.Millisecond),
		Every:   millis(1200),
	}
	steps := []state.StepSpec{{Count: 2}, {Count: 1, DependsOn: []int{0}}}
	job := s.newJob(classBatch, fmt.Sprintf("repeated-%d", number), steps, []int64{150, 50}, repeat)
	s.submitNumbered(job, number)
}

// submitLongRunning submits long-running tasks, and cancels them 3 s before the end of Duration.
func (s *ControlScenario) submitLongRunning(i int) {
	placement := state.Placement{LongRunning: true, Checkpointed: i == 0}
	job := s.newJob(classLong, fmt.Sprintf("lasting-%d", i),
		[]state.StepSpec{{Count: 2, Placement: placement}}, []int64{longRunningMillis}, state.Repeat{})
	s.submit(job)
	s.world.At(s.options.Duration-3*time.Second, func() { s.cancel(job) })
}
