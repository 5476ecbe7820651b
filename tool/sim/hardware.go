package sim

import "time"

// Hardware is what the computers of a world have. The zero value of a part is without
// bounds.
type Hardware struct {
	// Share is the part of a core that each process has.
	Share float64
	Costs Costs
	Links Links
	Disks Disks
	// QueuePolicy says how messages wait for a busy processor.
	QueuePolicy QueuePolicy
}

// CoreShare is the part of a core that each process has at the large site.
const CoreShare = 0.48

// The cost of a snapshot transfer was measured on a state of 6,599 records: 2.8 µs a
// record to gather them, 13 ns a byte to encode and 20 ns a byte to decode them, 7.2 µs a
// record to load them. Real processes took about twice what such loops take (garbage
// collection, cold caches), so that for decoding, gathering and loading twice these
// figures stand here.
//
// The rest is set so that the leader of a run without faults takes what real processes
// took with 74 workers and 200 starts a second: 0.168 of a core. With messages in JSON and
// a store of pages it was 0.367, 43 % of it for messages read and decoded, 29 % for the
// dispatcher's steps, 18 % for storage; decoding has since fallen to under a third
// (BenchmarkEncoding of core/wire), and steps look at workers with updates only.
var measuredCosts = Costs{
	Step:         12 * time.Microsecond,
	ReadMessage:  26 * time.Microsecond,
	ReadKilobyte: 14 * time.Microsecond,
	SendMessage:  8 * time.Microsecond,
	SendKilobyte: 13 * time.Microsecond,
	Heartbeat:    54 * time.Microsecond,
	Command:      72 * time.Microsecond,
	Batch:        240 * time.Microsecond,
	WriteRecord:  24 * time.Microsecond,
	GatherRecord: 6 * time.Microsecond,
	LoadRecord:   14 * time.Microsecond,
	Request:      30 * time.Microsecond,
}

// assumedLinks are not measured. The rate is that of a network of 100 Mbit/s, the window
// lies between what a kernel gives at first, 64 KB, and at most, some MB; the rest is as
// in daemon/transport. At 1 Gbit/s the large site recovers from a wiped and from a frozen
// leader in 3.5 s, but not from all core processes killed at once (seed 1).
var assumedLinks = Links{
	BytesPerSecond: 12_500_000, Window: 256 << 10, WriteTimeout: 3 * time.Second, QueueMax: 8192,
}

// assumedDisks are not measured: they write 50 MB/s beside the time that every batch takes.
var assumedDisks = Disks{BytesPerSecond: 50_000_000}

// LargeSiteHardware is what each computer of the large site has.
func LargeSiteHardware() *Hardware {
	return &Hardware{Share: CoreShare, Costs: measuredCosts, Links: assumedLinks, Disks: assumedDisks}
}
