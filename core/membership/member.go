// Package membership is how daemons know one another: each keeps a partial view of
// the others, bounded per role and site, and trades a part of it with one
// neighbour after the other. An entry that its node does not renew ages out; a
// node that comes back at another address replaces its old entry.
package membership

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
type Config struct {
	Self  wire.Node
	Seeds []string
	Seed  uint64
}

const (
	// shuffleEach is how often a part of the entries is exchanged.
	shuffleInterval = 300 * time.Millisecond
	// forgetAfter is when an entry that its node does not renew is dropped.
	entryTTL = 6 * time.Second
	// graveFor is how long a dropped entry is remembered, so that it does not return.
	tombstoneTTL = 2 * time.Minute
	// perRoleSite bounds the entries of one role in one site.
	maxPerRoleAndZone = 8
	// sampleSize is how many entries are sent in one exchange, beside the node itself.
	shuffleSize = 8
)

type entry struct {
	node      wire.Node
	updatedAt time.Duration
}

// Member is one node of the membership; it is a machine.
type Gossiper struct {
	config         Config
	self           wire.Node
	rng            *rand.Rand
	entries        map[string]entry
	tombstones     map[string]entry
	nextShuffle    time.Duration
	withoutReplica bool // no keeper was known when this member last told its own daemon
}

// New makes a member that knows only itself.
func New(config Config) *Gossiper {
	return &Gossiper{
		config:     config,
		self:       config.Self,
		rng:        rand.New(rand.NewPCG(config.Seed, 1)),
		entries:    map[string]entry{},
		tombstones: map[string]entry{},
	}
}

// Wakeup is when the next exchange is due.
func (g *Gossiper) NextTimer() time.Duration { return g.nextShuffle }

// Nodes gives this node and all it knows of, by identity.
func (g *Gossiper) Nodes() []wire.Node {
	out := []wire.Node{g.self}
	for _, e := range g.entries {
		out = append(out, e.node)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (g *Gossiper) replicaCount() (count int) {
	for _, e := range g.entries {
		if e.node.Role == "keeper" {
			count++
		}
	}
	return count
}

// Step takes what another member sent, and begins an exchange when one is due.
func (g *Gossiper) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	switch in.Message.Kind {
	case wire.KindShuffle, wire.KindShuffleReply:
		var b wire.Gossip
		if err := machine.Unmarshal(in.Message.Body, &b); err != nil {
			out.Log("line_damaged", "kind", in.Message.Kind, "from", in.Message.From, "why", err.Error())
			return out
		}
		if in.Message.Kind == wire.KindShuffle {
			out.Send(in.Message.From, wire.KindShuffleReply, wire.Gossip{Nodes: g.sample()})
		}
		for i, n := range b.Nodes {
			g.merge(now, n, i == 0 && n.Address == in.Message.From)
		}
		if g.withoutReplica && g.replicaCount() > 0 {
			g.withoutReplica = false
			out.Send("", wire.KindNodeList, wire.Gossip{Nodes: g.Nodes()})
		}
	}
	if now >= g.nextShuffle {
		g.nextShuffle = now + shuffleInterval
		g.shuffle(now, &out)
	}
	return out
}

func (g *Gossiper) shuffle(now time.Duration, out *machine.Output) {
	g.self.Version++
	var addresses []string
	for id, e := range g.entries {
		if now-e.updatedAt > entryTTL {
			g.remove(now, id)
			out.Log("node_forgotten", "node", id, "address", e.node.Address)
			continue
		}
		addresses = append(addresses, e.node.Address)
	}
	for id, e := range g.tombstones {
		if now-e.updatedAt > tombstoneTTL {
			delete(g.tombstones, id)
		}
	}
	sort.Strings(addresses)
	g.withoutReplica = g.replicaCount() == 0
	if seeds := g.config.Seeds; len(seeds) > 0 && g.withoutReplica {
		// Without a keeper nothing can be followed: each seed is asked in turn.
		if to := seeds[g.self.Version%uint64(len(seeds))]; to != g.self.Address {
			out.Send(to, wire.KindShuffle, wire.Gossip{Nodes: g.sample()})
		}
	} else if len(seeds) > 0 && (len(addresses) < 2 || g.self.Version%10 == 0) {
		addresses = append(addresses, seeds[g.rng.IntN(len(seeds))])
	}
	if len(addresses) > 0 {
		if to := addresses[g.rng.IntN(len(addresses))]; to != g.self.Address {
			out.Send(to, wire.KindShuffle, wire.Gossip{Nodes: g.sample()})
		}
	}
	out.Send("", wire.KindNodeList, wire.Gossip{Nodes: g.Nodes()})
}

func (g *Gossiper) sample() []wire.Node {
	all := g.Nodes()
	all = slices.DeleteFunc(all, func(n wire.Node) bool { return n.ID == g.self.ID })
	g.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	// A newcomer is of no use until it knows a keeper: two go first.
	for i, found := 0, 0; i < len(all) && found < 2; i++ {
		if all[i].Role == "keeper" {
			all[found], all[i] = all[i], all[found]
			found++
		}
	}
	return append([]wire.Node{g.self}, all[:min(len(all), shuffleSize)]...)
}

func newer(a, b wire.Node) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

func (g *Gossiper) remove(now time.Duration, id string) {
	g.tombstones[id] = entry{g.entries[id].node, now}
	delete(g.entries, id)
}

// hear takes one entry. A node that speaks for itself is believed about its
// address, whatever its clock made of its incarnation; of two others at one
// address the newer stays.
func (g *Gossiper) merge(now time.Duration, node wire.Node, firstHand bool) {
	if node.ID == g.self.ID {
		if node.Address != g.self.Address || node.Incarnation > g.self.Incarnation {
			g.self.Incarnation = max(g.self.Incarnation, node.Incarnation) + 1
		}
		return
	}
	if node.ID == "" || node.Address == "" || node.Address == g.self.Address {
		return
	}
	if tombstone, ok := g.tombstones[node.ID]; ok && !firstHand && !newer(node, tombstone.node) {
		return
	}
	delete(g.tombstones, node.ID)
	if old, ok := g.entries[node.ID]; ok {
		if newer(node, old.node) || firstHand && node.Incarnation < old.node.Incarnation {
			g.entries[node.ID] = entry{node, now}
		}
		return
	}
	count, oldest := 0, ""
	for id, e := range g.entries {
		if e.node.Address == node.Address {
			if !firstHand && !newer(node, e.node) {
				return
			}
			g.remove(now, id)
			continue
		}
		if e.node.Role == node.Role && e.node.Zone == node.Zone {
			count++
			if oldest == "" || e.updatedAt < g.entries[oldest].updatedAt || e.updatedAt == g.entries[oldest].updatedAt && id < oldest {
				oldest = id
			}
		}
	}
	if count >= maxPerRoleAndZone {
		delete(g.entries, oldest)
	}
	g.entries[node.ID] = entry{node, now}
}
