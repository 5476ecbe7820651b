// Control days: faults of the core machines, their disks, clocks and connections,
// mixed by seed, on processors that can be too busy.

package sim

import (
	"slices"
	"testing"
	"time"
)

// controlDays are days of 45 s with all faults of the control days.
func controlDays(size Size, seeds ...uint64) []Env {
	var days []Env
	for _, seed := range seeds {
		day := Env{Seed: seed, Faults: ControlKindNames(), For: 45 * time.Second}
		day.Size, day.Hardware = size, GrownHardware()
		days = append(days, day)
	}
	return days
}

// TestControlSeeds plays the fixed seeds of the control days at two sizes.
func TestControlSeeds(t *testing.T) {
	days := slices.Concat(controlDays(SmallSize, 1, 2, 3, 4, 5, 6, 7, 8), controlDays(MiddleSize, 1, 2, 3, 4, 5, 6))
	played := map[string]int{}
	for i, r := range playAll(days, PlayCenters) {
		for kind, count := range r.Played {
			played[kind] += count
		}
		site := "small"
		if days[i].Size == MiddleSize {
			site = "middle"
		}
		for _, b := range r.Broken {
			t.Errorf("%s: %s\n  again: simulate -composition center -site %s -faults control -for %s -from %d -to %d",
				b.Check, b.Why, site, days[i].For, r.Seed, r.Seed)
		}
	}
	for _, kind := range ControlKindNames() {
		if played[kind] == 0 {
			t.Errorf("%s was not played on any of these days", kind)
		}
	}
	t.Logf("played: %v", played)
}

// TestOneSeedIsOneRunOfControlDays plays a day with bounded processors twice.
func TestOneSeedIsOneRunOfControlDays(t *testing.T) {
	day := controlDays(MiddleSize, 3)[0]
	day.For = 25 * time.Second
	results := playAll([]Env{day, day}, PlayCenters)
	if results[0].Trace != results[1].Trace || results[0].Lines != results[1].Lines {
		t.Errorf("two runs of one seed differ: %x %d, %x %d",
			results[0].Trace, results[0].Lines, results[1].Trace, results[1].Lines)
	}
}

// TestHeldLinesComeAfterTheCut holds lines back and wants them in order afterwards.
func TestHeldLinesComeAfterTheCut(t *testing.T) {
	w, from, _, got := pair(slowReader(time.Millisecond))
	w.Hold("a", "b")
	w.sendText(from, "first", 10)
	w.sendText(from, "second", 10)
	w.Run(time.Second)
	if len(got.kinds) > 0 {
		t.Errorf("%v came through a held way", got.kinds)
	}
	w.Release("a", "b")
	w.sendText(from, "third", 10)
	w.Run(2 * time.Second)
	if !slices.Equal(got.kinds, []string{"first", "second", "third"}) {
		t.Errorf("got %v", got.kinds)
	}
}
