// Package membership lets processes discover one another by gossip. Each keeps a
// partial view of the others, bounded per role and zone, and exchanges a sample of
// it with a random neighbour at every interval (a shuffle). An entry that its node
// does not refresh expires and leaves a tombstone, so that old gossip does not bring
// it back; a node that returns at another address replaces its old entry.
//
// The view is eventually consistent and only a hint: the leader and the voters are
// determined elsewhere.
package membership

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"sorrelloom/core/machine"
	"sorrelloom/core/wire"
)

const (
	// shuffleInterval is the time between two exchanges that a node begins.
	shuffleInterval = 300 * time.Millisecond
	// shuffleSize is the maximum number of entries in a sample, besides the node's own.
	shuffleSize = 8
	// minSampledReplicas is the number of replicas that every sample begins with, if so many
	// are known: a new node cannot do anything until it knows one.
	minSampledReplicas = 2
	// minNeighbours is the number of known nodes below which a seed is a candidate
	// for every exchange.
	minNeighbours = 2
	// shufflesPerSeed is the number of exchanges after which a seed is a candidate even if
	// enough nodes are known, so that two partitions of the gossip find each other again.
	shufflesPerSeed = 10
	// rngStream separates this package's random numbers from others of the same seed.
	rngStream = 1
)

// Config holds the initial settings of a Gossiper.
type Config struct {
	// Self is the entry of this node.
	Self wire.Node
	// Seeds are the addresses of the nodes through which it joins the others.
	Seeds []string
	// RandomSeed is the seed of its random number generator.
	RandomSeed uint64
}

// Gossiper keeps the partial view of one node; it is a machine.Machine. It sends the list of
// known nodes (the membership list) to its own process, as a message to the empty address.
type Gossiper struct {
	self  wire.Node
	seeds []string
	rng   *rand.Rand
	view  partialView

	nextShuffle time.Duration
	// withoutReplica is set if the membership list that was last published names no replica.
	withoutReplica bool
}

// New returns a Gossiper that knows only itself.
func New(config Config) *Gossiper {
	return &Gossiper{
		self:  config.Self,
		seeds: config.Seeds,
		rng:   rand.New(rand.NewPCG(config.RandomSeed, rngStream)),
		view:  partialView{entries: map[string]entry{}, tombstones: map[string]entry{}},
	}
}

// NextTimer returns when the next exchange is due.
func (g *Gossiper) NextTimer() time.Duration { return g.nextShuffle }

// SetSeeds replaces the addresses of the seeds.
func (g *Gossiper) SetSeeds(seeds []string) { g.seeds = seeds }

// Nodes returns this node and all nodes that it knows, sorted by ID.
func (g *Gossiper) Nodes() []wire.Node {
	nodes := g.view.appendNodes([]wire.Node{g.self})
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].ID < nodes[j].ID })
	return nodes
}

// Step handles a message from another node, and begins an exchange when one is due.
func (g *Gossiper) Step(now time.Duration, in machine.Input) machine.Output {
	var out machine.Output
	switch in.Message.Kind {
	case wire.KindShuffle, wire.KindShuffleReply:
		if !g.handleShuffle(now, in.Message, &out) {
			return out
		}
	}
	if now >= g.nextShuffle {
		g.nextShuffle = now + shuffleInterval
		g.shuffle(now, &out)
	}
	return out
}

// handleShuffle merges the entries of a message into the view, after answering it with
// a sample if it is a request. It reports whether the message could be decoded.
func (g *Gossiper) handleShuffle(now time.Duration, message machine.Message, out *machine.Output) bool {
	gossip, ok := machine.Decode[wire.Gossip](message, out)
	if !ok {
		return false
	}
	if message.Kind == wire.KindShuffle {
		out.Send(message.From, wire.KindShuffleReply, wire.Gossip{Nodes: g.sample()})
	}
	for i, node := range gossip.Nodes {
		g.merge(now, node, i == 0 && node.Address == message.From)
	}
	if g.withoutReplica && g.view.replicaCount() > 0 {
		g.withoutReplica = false
		g.publishNodes(out)
	}
	return true
}

// shuffle begins an exchange with a random neighbour and publishes the membership list.
func (g *Gossiper) shuffle(now time.Duration, out *machine.Output) {
	g.self.Version++
	g.view.expire(now, out)
	addresses := g.view.addresses()
	g.withoutReplica = g.view.replicaCount() == 0
	count := uint64(len(g.seeds))
	switch {
	case count == 0:
	case g.withoutReplica:
		// The process cannot read the state until it knows a replica, so a seed is asked as
		// well, each in turn.
		g.sendShuffle(g.seeds[g.self.Version%count], out)
	case len(addresses) < minNeighbours || g.self.Version%shufflesPerSeed == 0:
		addresses = append(addresses, g.seeds[g.rng.IntN(len(g.seeds))])
	}
	if len(addresses) > 0 {
		g.sendShuffle(addresses[g.rng.IntN(len(addresses))], out)
	}
	g.publishNodes(out)
}

// sendShuffle sends a sample to another node, which replies with one of its own.
func (g *Gossiper) sendShuffle(to string, out *machine.Output) {
	if to != g.self.Address {
		out.Send(to, wire.KindShuffle, wire.Gossip{Nodes: g.sample()})
	}
}

// publishNodes sends the membership list to this node's own process.
func (g *Gossiper) publishNodes(out *machine.Output) {
	out.Send("", wire.KindNodeList, wire.Gossip{Nodes: g.Nodes()})
}

// sample returns this node followed by up to shuffleSize others, which are chosen at
// random but begin with up to minSampledReplicas replicas.
func (g *Gossiper) sample() []wire.Node {
	others := slices.DeleteFunc(g.Nodes(), func(n wire.Node) bool { return n.ID == g.self.ID })
	g.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for i, found := 0, 0; i < len(others) && found < minSampledReplicas; i++ {
		if others[i].Role == wire.RoleReplica {
			others[found], others[i] = others[i], others[found]
			found++
		}
	}
	return append([]wire.Node{g.self}, others[:min(len(others), shuffleSize)]...)
}

// merge merges an entry into the view; firstHand is set if the node itself sent it. If
// the entry is about this node and names another address or a later incarnation, this
// node refutes it by raising its own incarnation.
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
	g.view.merge(now, node, firstHand)
}
