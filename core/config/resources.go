package config

// Resources holds the resources that a task requires or a worker provides. Shares are
// fractions of the slots. The operator decides what a slot is, such as a place for one task or
// a thousandth of a core.
type Resources struct {
	Slots        int `json:"slots"`
	Cores        int `json:"cores,omitempty"`
	MemoryMB     int `json:"memoryMB,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Add returns the sum of r and other, resource by resource.
func (r Resources) Add(other Resources) Resources {
	return Resources{
		Slots:        r.Slots + other.Slots,
		Cores:        r.Cores + other.Cores,
		MemoryMB:     r.MemoryMB + other.MemoryMB,
		Accelerators: r.Accelerators + other.Accelerators,
	}
}

// Sub returns r minus other, resource by resource. Amounts in the result may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{
		Slots:        r.Slots - other.Slots,
		Cores:        r.Cores - other.Cores,
		MemoryMB:     r.MemoryMB - other.MemoryMB,
		Accelerators: r.Accelerators - other.Accelerators,
	}
}

// Times returns n times r, resource by resource.
func (r Resources) Times(n int) Resources {
	return Resources{
		Slots:        n * r.Slots,
		Cores:        n * r.Cores,
		MemoryMB:     n * r.MemoryMB,
		Accelerators: n * r.Accelerators,
	}
}

// Covers reports whether r has at least as much of each resource as other.
func (r Resources) Covers(other Resources) bool {
	return r.Slots >= other.Slots && r.Cores >= other.Cores &&
		r.MemoryMB >= other.MemoryMB && r.Accelerators >= other.Accelerators
}

// Min returns the smaller amount of each resource.
func (r Resources) Min(other Resources) Resources {
	return Resources{
		Slots:        min(r.Slots, other.Slots),
		Cores:        min(r.Cores, other.Cores),
		MemoryMB:     min(r.MemoryMB, other.MemoryMB),
		Accelerators: min(r.Accelerators, other.Accelerators),
	}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(other Resources) Resources {
	return Resources{
		Slots:        max(r.Slots, other.Slots),
		Cores:        max(r.Cores, other.Cores),
		MemoryMB:     max(r.MemoryMB, other.MemoryMB),
		Accelerators: max(r.Accelerators, other.Accelerators),
	}
}
