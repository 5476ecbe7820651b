// Package member is how daemons know one another: each keeps a partial view of
// the others, bounded per role and site, and trades a part of it with one
// neighbour after the other. An entry that its node does not renew ages out; a
// node that comes back at another address replaces its old entry.
package member

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

// Env is what a member begins with: itself, whom it asks first, and the seed of its
// random choices.
type Env struct {
	Self  wire.Node
	Seeds []string
	Seed  uint64
}

const (
	// shuffleEach is how often a part of the entries is exchanged.
	shuffleEach = 300 * time.Millisecond
	// forgetAfter is when an entry that its node does not renew is dropped.
	forgetAfter = 6 * time.Second
	// graveFor is how long a dropped entry is remembered, so that it does not return.
	graveFor = 2 * time.Minute
	// perRoleSite bounds the entries of one role in one site.
	perRoleSite = 8
	// sampleSize is how many entries are sent in one exchange, beside the node itself.
	sampleSize = 8
)

type entry struct {
	node wire.Node
	seen time.Duration
}

// Member is one node of the membership; it is a machine.
type Member struct {
	env     Env
	self    wire.Node
	chance  *rand.Rand
	entries map[string]entry
	graves  map[string]entry
	next    time.Duration
	lost    bool // no keeper was known when this member last told its own daemon
}

// New makes a member that knows only itself.
func New(env Env) *Member {
	return &Member{
		env:     env,
		self:    env.Self,
		chance:  rand.New(rand.NewPCG(env.Seed, 1)),
		entries: map[string]entry{},
		graves:  map[string]entry{},
	}
}

// Wakeup is when the next exchange is due.
func (m *Member) Wakeup() time.Duration { return m.next }

// Nodes gives this node and all it knows of, by identity.
func (m *Member) Nodes() []wire.Node {
	out := []wire.Node{m.self}
	for _, e := range m.entries {
		out = append(out, e.node)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (m *Member) keepers() (count int) {
	for _, e := range m.entries {
		if e.node.Role == "keeper" {
			count++
		}
	}
	return count
}

// Step takes what another member sent, and begins an exchange when one is due.
func (m *Member) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	switch in.Line.Kind {
	case wire.Shuffle, wire.ShuffleBack:
		var b wire.Gossip
		if err := machine.Unmarshal(in.Line.Body, &b); err != nil {
			out.Log("line_damaged", "kind", in.Line.Kind, "from", in.Line.From, "why", err.Error())
			return out
		}
		if in.Line.Kind == wire.Shuffle {
			out.Send(in.Line.From, wire.ShuffleBack, wire.Gossip{Nodes: m.sample()})
		}
		for i, n := range b.Nodes {
			m.hear(now, n, i == 0 && n.Address == in.Line.From)
		}
		if m.lost && m.keepers() > 0 {
			m.lost = false
			out.Send("", wire.Nodes, wire.Gossip{Nodes: m.Nodes()})
		}
	}
	if now >= m.next {
		m.next = now + shuffleEach
		m.shuffle(now, &out)
	}
	return out
}

func (m *Member) shuffle(now time.Duration, out *machine.Output) {
	m.self.Sequence++
	var addresses []string
	for id, e := range m.entries {
		if now-e.seen > forgetAfter {
			m.bury(now, id)
			out.Log("node_forgotten", "node", id, "address", e.node.Address)
			continue
		}
		addresses = append(addresses, e.node.Address)
	}
	for id, e := range m.graves {
		if now-e.seen > graveFor {
			delete(m.graves, id)
		}
	}
	sort.Strings(addresses)
	m.lost = m.keepers() == 0
	if seed := m.env.Seeds; len(seed) > 0 && m.lost {
		// Without a keeper nothing can be followed: each seed is asked in turn.
		if to := seed[m.self.Sequence%uint64(len(seed))]; to != m.self.Address {
			out.Send(to, wire.Shuffle, wire.Gossip{Nodes: m.sample()})
		}
	} else if len(seed) > 0 && (len(addresses) < 2 || m.self.Sequence%10 == 0) {
		addresses = append(addresses, seed[m.chance.IntN(len(seed))])
	}
	if len(addresses) > 0 {
		if to := addresses[m.chance.IntN(len(addresses))]; to != m.self.Address {
			out.Send(to, wire.Shuffle, wire.Gossip{Nodes: m.sample()})
		}
	}
	out.Send("", wire.Nodes, wire.Gossip{Nodes: m.Nodes()})
}

func (m *Member) sample() []wire.Node {
	all := m.Nodes()
	all = slices.DeleteFunc(all, func(n wire.Node) bool { return n.ID == m.self.ID })
	m.chance.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	// A newcomer is of no use until it knows a keeper: two go first.
	for i, found := 0, 0; i < len(all) && found < 2; i++ {
		if all[i].Role == "keeper" {
			all[found], all[i] = all[i], all[found]
			found++
		}
	}
	return append([]wire.Node{m.self}, all[:min(len(all), sampleSize)]...)
}

func newer(a, b wire.Node) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

func (m *Member) bury(now time.Duration, id string) {
	m.graves[id] = entry{m.entries[id].node, now}
	delete(m.entries, id)
}

// hear takes one entry. A node that speaks for itself is believed about its
// address, whatever its clock made of its incarnation; of two others at one
// address the newer stays.
func (m *Member) hear(now time.Duration, n wire.Node, itself bool) {
	if n.ID == m.self.ID {
		if n.Address != m.self.Address || n.Incarnation > m.self.Incarnation {
			m.self.Incarnation = max(m.self.Incarnation, n.Incarnation) + 1
		}
		return
	}
	if n.ID == "" || n.Address == "" || n.Address == m.self.Address {
		return
	}
	if dead, ok := m.graves[n.ID]; ok && !itself && !newer(n, dead.node) {
		return
	}
	delete(m.graves, n.ID)
	if old, ok := m.entries[n.ID]; ok {
		if newer(n, old.node) || itself && n.Incarnation < old.node.Incarnation {
			m.entries[n.ID] = entry{n, now}
		}
		return
	}
	count, oldest := 0, ""
	for id, e := range m.entries {
		if e.node.Address == n.Address {
			if !itself && !newer(n, e.node) {
				return
			}
			m.bury(now, id)
			continue
		}
		if e.node.Role == n.Role && e.node.Site == n.Site {
			count++
			if oldest == "" || e.seen < m.entries[oldest].seen || e.seen == m.entries[oldest].seen && id < oldest {
				oldest = id
			}
		}
	}
	if count >= perRoleSite {
		delete(m.entries, oldest)
	}
	m.entries[n.ID] = entry{n, now}
}
