package agent

import (
	"slices"

	"sorrelloom/core/wire"
)

// replicaSelector selects the replica that reports are sent to.
type replicaSelector struct {
	// bootstrap are the configured replicas, known those of the newest view that a reply named.
	bootstrap []string
	known     wire.ReplicaList
	// target is the replica that reports are sent to, "" if there is none.
	target string
}

func newReplicaSelector(bootstrap []string) replicaSelector {
	selector := replicaSelector{bootstrap: bootstrap}
	if len(bootstrap) > 0 {
		selector.target = bootstrap[0]
	}
	return selector
}

// selectNext switches to the next replica, in turn: the known ones, then the bootstrap
// replicas that are not among them.
func (s *replicaSelector) selectNext() {
	all := slices.Clone(s.known.Addresses)
	for _, replica := range s.bootstrap {
		if !slices.Contains(all, replica) {
			all = append(all, replica)
		}
	}
	if len(all) > 0 {
		s.target = all[(slices.Index(all, s.target)+1)%len(all)]
	}
}

// setBootstrap replaces the bootstrap replicas.
func (s *replicaSelector) setBootstrap(replicas []string) {
	s.bootstrap = replicas
	if s.target == "" && len(replicas) > 0 {
		s.target = replicas[0]
	}
}
