package dispatch

import (
	"testing"
)

// TestLocalityScore checks the paper's formula, |H ∩ D| / |D|, with the values of its example
// and with the edge case that the paper omits.
func TestLocalityScore(t *testing.T) {
	table := []struct {
		name      string
		completed []string
		want      float64
		task      string
	}{
		{"holds both", []string{"j/a@w1", "j/b@w1"}, 1, "c<a,b"},
		{"holds one of two", []string{"j/a@w1", "j/b@w2"}, 0.5, "c<a,b"},
		{"holds none", []string{"j/a@w2", "j/b@w2"}, 0, "c<a,b"},
		{"outputs outside of D do not count", []string{"j/a@w2", "j/b@w1"}, 0, "c<a"},
		{"no dependencies", []string{"j/a@w1", "j/b@w1"}, 0, "c"},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			s := newFixture(t, map[string]int{"w1": 4, "w2": 4}, "w1", "w2")
			s.AcceptJob("j", "batch", "a", "b", row.task)
			for _, assignment := range row.completed {
				s.FinishTask(assignment)
			}
			s.update()
			job, _ := s.Store.Job("j")
			if got := s.dispatcher.LocalityScore(job, TaskRef{"j", 2}, "w1"); got != row.want {
				t.Errorf("got %v, want %v", got, row.want)
			}
		})
	}
}
