package sim

import "time"

// Hardware limits the hosts of a world. The zero value of a field means no limit.
type Hardware struct {
	// Share is the fraction of a core that each process can use.
	Share float64
	Costs Costs
	Links Links
	Disks Disks
	// QueuePolicy determines how messages wait for a busy processor.
	QueuePolicy QueuePolicy
}

// CoreShare is the fraction of a core that each process can use at the large site.
const CoreShare = 0.48

// The cost of a snapshot transfer was measured in loops over a state of 6,599 records:
// 2.8 µs per record to gather it, 13 ns per byte to encode and 20 ns per byte to decode,
// 7.2 µs per record to load it. Real processes took about twice as long as such loops
// (garbage collection, cold caches), so the costs of decoding, gathering and loading are
// twice the measured ones.
//
// The other costs are set so that the leader of a run without faults uses as much as a real
// one did with 74 workers and 200 starts per second: 0.168 of a core. With JSON messages and
// a page-based store it used 0.367 of a core: 43 % for reading and decoding messages, 29 %
// for the dispatcher's steps, and 18 % for storage. Since then decoding has fallen to less
// than a third (BenchmarkEncoding in core/wire), and steps look only at workers with updates.
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

// assumedLinks are assumptions, not measurements. The rate is that of a 100 Mbit/s network.
// The window lies between the initial 64 KB and the maximum of some MB that a kernel
// provides. The other values are those of daemon/transport. At 1 Gbit/s the large site
// recovers from a wiped and from a frozen leader in 3.5 s, but does not recover when all
// control processes are killed at once (seed 1).
var assumedLinks = Links{
	BytesPerSecond: 12_500_000, Window: 256 << 10, WriteTimeout: 3 * time.Second, QueueMax: 8192,
}

// assumedDisks is an assumption, not a measurement: 50 MB/s, in addition to the fixed time
// that each batch takes.
var assumedDisks = Disks{BytesPerSecond: 50_000_000}

// LargeSiteHardware returns the hardware of the large site.
func LargeSiteHardware() *Hardware {
	return &Hardware{Share: CoreShare, Costs: measuredCosts, Links: assumedLinks, Disks: assumedDisks}
}
