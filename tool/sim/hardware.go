// What the machines of the grown days have, and where the figures come from.

package sim

import "time"

// CoreShare is the part of a core that a core machine has on a grown day.
const CoreShare = 0.48

// The cost of a copy was measured on a ledger of 6,599 records: 2.8 µs a record to
// gather them, 13 ns a byte to encode and 20 ns a byte to decode them, 7.2 µs a record
// to load them. Real processes took about twice what such loops take (garbage
// collection, cold caches), so that for decoding, gathering and loading twice these
// figures stand here.
//
// The rest is set so that the leader of a calm day takes what real processes took,
// 74 workers and 200 starts a second: 0.168 of a core. With lines in JSON and a store
// of pages it was 0.367, 43 % of it for lines read and decoded, 29 % for the
// dispatcher's steps, 18 % for storage; decoding has since fallen to under a third
// (BenchmarkEncoding of core/wire), and steps look at workers with news only.
var measuredCosts = Costs{
	Step:         12 * time.Microsecond,
	ReadLine:     26 * time.Microsecond,
	ReadKilobyte: 14 * time.Microsecond,
	SendLine:     8 * time.Microsecond,
	SendKilobyte: 13 * time.Microsecond,
	Report:       54 * time.Microsecond,
	Command:      72 * time.Microsecond,
	Batch:        240 * time.Microsecond,
	WriteRecord:  24 * time.Microsecond,
	GatherRecord: 6 * time.Microsecond,
	LoadRecord:   14 * time.Microsecond,
	Request:      30 * time.Microsecond,
}

// Of these nothing was measured. The rate is that of a network of 100 Mbit/s, the
// window lies between what a kernel gives at first, 64 KB, and at most, some MB; the
// rest is as in daemon/circuit. At 1 Gbit/s a wiped and a frozen leader of a grown day
// are got over in 3.5 s, all core processes killed at once are not (seed 1).
var assumedLinks = Links{Rate: 12_500_000, Window: 256 << 10, WriteWait: 3 * time.Second, QueueMax: 8192}

// assumedDisks write 50 MB/s beside the time that every batch takes.
var assumedDisks = Disks{Rate: 50_000_000}

// GrownHardware is what each machine of a grown day has.
func GrownHardware() *Hardware {
	return &Hardware{Share: CoreShare, Costs: measuredCosts, Links: assumedLinks, Disks: assumedDisks}
}
