package dispatch

import (
	"strings"
	"testing"

	"sorrelloom/core/statetest"
)

type fixture struct {
	*statetest.Fixture
	dispatcher *Dispatcher
}

// newFixture returns a fixture with workers of the given slots, registered in the given order.
func newFixture(t *testing.T, workers map[string]int, order ...string) fixture {
	s := fixture{statetest.New(t), New()}
	for _, name := range order {
		s.AddWorker(name, workers[name])
	}
	s.update()
	return s
}

func (s fixture) update() { s.dispatcher.Update(s.Store, s.Store.TakeChanges()) }

// pull makes a worker pull in all rounds, or in those without stealing, until it has a
// proposal. It returns the assignments as text, and the worker from whose queue they were
// stolen.
func (s fixture) pull(worker string, steal bool) (assignments, stolenFrom string) {
	s.update()
	var proposal Proposal
	for _, round := range PullRounds {
		if len(proposal.Assignments) == 0 && (steal || !round.Steal) {
			proposal, _ = s.dispatcher.Pull(s.Store, worker, InFlight{}, round)
		}
	}
	var texts []string
	for _, assignment := range proposal.Assignments {
		texts = append(texts, assignment.Job+"/"+assignment.Task+"@"+assignment.Worker)
	}
	return strings.Join(texts, " "), proposal.StolenFrom
}

// moveTo moves a task to a worker's queue, as if that queue had been chosen for it.
func (s fixture) moveTo(worker, ref string) {
	s.update()
	for _, job := range s.Store.ActiveJobs() {
		for i, spec := range job.Spec.Tasks {
			if job.Spec.ID+"/"+spec.ID == ref {
				s.dispatcher.dequeue(TaskRef{job.Spec.ID, i})
				s.dispatcher.enqueue(s.Store, job, TaskRef{job.Spec.ID, i}, worker, true)
			}
		}
	}
}
