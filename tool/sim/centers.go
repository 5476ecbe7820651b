// The other composition of the daemons: three centers, each a keeper with its own
// dispatcher, three doors that carry commands to them, and a side beside each of
// eleven workers. Callers hand in jobs in steps through the doors.

package sim

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sorrelloom/core/state"
)

const (
	centerHost  = "shop"
	centerMain  = "render"
	centerOther = "press"
	commandWait = 2 * time.Second
	pollEach    = 400 * time.Millisecond
	// goneMost is how many machines may lose their worker for good in a day.
	goneMost = 2
)

// Centers is one scenario of this composition.
type Centers struct {
	notes
	env      Env
	w        *World
	sites    []string
	size     Size
	pollEach time.Duration
	centers  []*node
	proxies  []*node
	doors    []*node
	places   []*place
	byID     map[string]*caller
	rings    map[string]*ring
	lastAt   time.Duration
	repairAt time.Duration
	goneFor  int
	onYes    func()
	planned  uint64
	asks     int
	emptying bool
	// played counts the faults by name.
	played   map[string]int
	replaced int
	// clockSlack is by how much clocks of the day may differ on this day.
	clockSlack time.Duration
}

// newCenters builds the site of a day.
func newCenters(e Env) *Centers {
	c := &Centers{env: e, w: NewWorld(e.Seed), sites: []string{"a", "b", "c"}, size: SmallSize, pollEach: pollEach}
	c.byID, c.rings, c.played = map[string]*caller{}, map[string]*ring{}, map[string]int{}
	if e.Size.Centers > 0 {
		c.size = e.Size
	}
	c.w.Verbose, c.w.hardware, c.w.copies = e.Verbose, e.Hardware, c.size.Copies
	c.notes = newNotes()
	c.steps = true
	c.end = e.For + cmp.Or(e.Settle, settle)
	for _, class := range []string{"lookup", "batch", "long", "print"} {
		c.restart[class], c.share[class] = true, 1<<20
	}
	c.build()
	return c
}

// PlayCenters runs one scenario of this composition to its end.
func PlayCenters(e Env) Result {
	c := newCenters(e)
	if e.PrepareCenters != nil {
		e.PrepareCenters(c)
	}
	c.w.At(4*time.Second, c.change)
	if !e.Quiet {
		c.traffic()
		c.operators()
	}
	c.breakThings()
	c.watch()
	c.w.After(7*time.Second, c.readPlan)
	c.w.Run(e.For + serveBound + 12*time.Second)
	for c.w.Now < c.end && c.open() {
		c.w.Run(c.w.Now + time.Second)
	}
	c.end = c.w.Now
	c.explain()
	return c.finish()
}

func (c *Centers) build() {
	size := c.size
	var seeds []string
	for i := range size.Centers + size.Proxies {
		seeds = append(seeds, coreAddress(i))
	}
	for i := range size.Centers {
		c.centers = append(c.centers, c.w.Add("center", fmt.Sprintf("center-%d", i+1), c.siteOf(i), seeds[i], seeds, seeds))
	}
	for i := range size.Proxies {
		at := size.Centers + i
		c.proxies = append(c.proxies, c.w.Add("proxy", fmt.Sprintf("proxy-%d", i+1), c.siteOf(at), seeds[at], seeds, nil))
	}
	for i := range size.Doors {
		c.doors = append(c.doors, c.w.Add("door", fmt.Sprintf("door-%d", i+1), c.siteOf(i), doorAddress(i), seeds, nil))
	}
	c.daemons = slices.Concat(c.centers, c.proxies, c.doors)
	for i := range size.Workers {
		c.addPlace(i, seeds)
	}
}

func (c *Centers) siteOf(i int) string { return c.sites[i%len(c.sites)] }

func coreAddress(i int) string { return fmt.Sprintf("10.%d.1.%d:7000", i%3, i/3+1) }

func doorAddress(i int) string { return fmt.Sprintf("10.%d.2.%d:7000", i%3, i/3+1) }

// addPlace brings a worker's machine with its side in.
func (c *Centers) addPlace(i int, seeds []string) {
	p := &place{number: i + 1, address: fmt.Sprintf("10.%d.3.%d", i%3, i+1), site: c.siteOf(i), rack: fmt.Sprintf("r%d", i/3), service: centerMain, total: state.Resources{Slots: c.size.Slots, MemoryMB: 64}}
	if i%4 == 0 {
		p.labels = []string{"ssd"}
	}
	if i%4 == 3 && !c.size.OneService {
		p.service = centerOther
	}
	p.labels = append(p.labels, p.rack)
	p.side = c.w.Add("side", fmt.Sprintf("side-%d", i+1), p.site, p.address+":7000", seeds, nil)
	c.daemons = append(c.daemons, p.side)
	c.places = append(c.places, p)
	c.w.At(2*time.Second+time.Duration(i)*10*time.Millisecond, func() { c.birth(p) })
}

func (c *Centers) primary() *node { return primaryOf(c.centers) }

// someCenter picks a center by chance.
func (c *Centers) someCenter() *node { return c.centers[c.w.chance.IntN(len(c.centers))] }

// leader is the center that serves, or would.
func (c *Centers) leader() *node {
	if n := c.primary(); n != nil {
		return n
	}
	return c.someCenter()
}

// seated says whether every witness of the newest view is a center that is up.
func (c *Centers) seated() bool { return seatedIn(c.centers) }

func (c *Centers) watch() { c.watchIdle(c.w, c.primary) }
