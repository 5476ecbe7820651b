package quota

import (
	"reflect"
	"testing"
)

func TestAllows(t *testing.T) {
	limit := Resources{Slots: 10, MemoryMB: 100}
	for _, row := range []struct {
		name           string
		used, increase Resources
		want           bool
	}{
		{"no usage", Resources{}, Resources{Slots: 10, MemoryMB: 100}, true},
		{"exactly the limit", Resources{Slots: 7}, Resources{Slots: 3}, true},
		{"one slot too many", Resources{Slots: 7}, Resources{Slots: 4}, false},
		{"too much memory", Resources{MemoryMB: 60}, Resources{Slots: 1, MemoryMB: 41}, false},
		{"accelerators are not limited", Resources{}, Resources{Accelerators: 1000}, true},
		{"above a lowered limit", Resources{Slots: 20}, Resources{Slots: 1}, false},
		{"above a lowered limit in another resource", Resources{MemoryMB: 200}, Resources{Slots: 1}, false},
	} {
		if got := Allows(limit, row.used, row.increase); got != row.want {
			t.Errorf("%s: got %v, want %v", row.name, got, row.want)
		}
	}
}

func TestBelowHalf(t *testing.T) {
	limit := Resources{Slots: 10, MemoryMB: 100}
	for used, want := range map[Resources]bool{
		{}:                          true,
		{Slots: 4, MemoryMB: 49}:    true,
		{Slots: 5}:                  false,
		{MemoryMB: 50}:              false,
		{Accelerators: 7, Slots: 1}: true,
	} {
		if got := BelowHalf(limit, used); got != want {
			t.Errorf("usage %+v: got %v, want %v", used, got, want)
		}
	}
}

func TestUsage(t *testing.T) {
	kept, recounted := NewUsage(), NewUsage()
	kept.Add("a", Resources{Slots: 3})
	kept.Add("b", Resources{Slots: 1})
	kept.Add("", Resources{Slots: 9})
	kept.Remove("b", Resources{Slots: 1})
	recounted.Add("a", Resources{Slots: 3})
	if got := kept.Tenants(); !reflect.DeepEqual(got, []string{"a"}) {
		t.Errorf("tenants with usage: %v", got)
	}
	if got := Compare(kept, recounted); got != nil {
		t.Errorf("unexpected differences: %+v", got)
	}
	recounted.Add("c", Resources{MemoryMB: 5})
	want := []Difference{{"c", Resources{}, Resources{MemoryMB: 5}}}
	if got := Compare(kept, recounted); !reflect.DeepEqual(got, want) {
		t.Errorf("differences: got %+v, want %+v", got, want)
	}
}
