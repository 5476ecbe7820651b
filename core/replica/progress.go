package replica

import (
	"time"

	"sorrelloom/core/state"
)

// progress is what a replica knows of a peer in the current epoch.
type progress struct {
	heardAt time.Duration
	// match is the last position that the peer acknowledged. It counts only while replicating
	// is set, which means that the peer has confirmed it as part of this log's history.
	match       state.LogPosition
	replicating bool
	// ackedSendID is the newest message that the peer acknowledged.
	ackedSendID uint64
	// candidate is set if the peer is a candidate for primary of the next view. Its
	// acknowledgements no longer count for commits in this epoch.
	candidate bool
	// stopping is set if the peer is being stopped.
	stopping bool
	// awaitedIndex is the index that the peer has yet to acknowledge, awaited since
	// awaitedSince on the active clock. slow is set if that had taken too long when last
	// checked.
	awaitedIndex uint64
	awaitedSince time.Duration
	slow         bool
	// slowLoggedAt is the awaitedSince of the last wait that was logged.
	slowLoggedAt time.Duration
	// lagging is set while the peer counts as lagging and this was logged.
	lagging bool
	// sentUpTo is the last position sent to the peer, and windowStart the last position that
	// it reported. Commands between them are in flight.
	sentUpTo    state.LogPosition
	windowStart state.LogPosition
	// probedAt is when the last message that was not a broadcast was sent to the peer.
	probedAt time.Duration
	// resentAt and resentSendID are the time and ID of the last message that restarted
	// replication at the position that the peer reported.
	resentAt     time.Duration
	resentSendID uint64
	transfer     outgoingTransfer
}

// has reports whether the peer is confirmed to be at a position.
func (p *progress) has(position state.LogPosition) bool {
	return p.replicating && p.match == position
}

// syncedIndex returns the index up to which the peer's disk counts for commits.
func (p *progress) syncedIndex() uint64 {
	if !p.replicating || p.candidate {
		return 0
	}
	return p.match.Index
}

// acknowledge records that a peer has synced everything up to a position. An older
// acknowledgement that arrives late does not move it back.
func (p *progress) acknowledge(position state.LogPosition) {
	if !p.replicating || position.Index >= p.match.Index {
		p.match = position
	}
	p.replicating, p.windowStart = true, p.match
	p.slow = p.slow && p.match.Index < p.awaitedIndex
	if p.sentUpTo.Index < p.match.Index {
		p.sentUpTo = p.match
	}
	if p.match.Index >= p.transfer.position.Index {
		p.transfer = outgoingTransfer{}
	}
}

// restart records that replication restarts at the position that the peer reported.
func (p *progress) restart(now time.Duration, at state.LogPosition, sendID uint64) {
	p.windowStart, p.resentAt, p.resentSendID, p.probedAt = at, now, sendID, now
}

// answersOlder reports whether a peer's reply is to a message sent before the last restart of
// replication. It returns false once resendTimeout has passed since the restart.
func (p *progress) answersOlder(now time.Duration, sendID uint64) bool {
	return sendID < p.resentSendID && now-p.resentAt < resendTimeout
}

// watchDisk checks whether the peer has taken too long to acknowledge the awaited index, by
// the active clock. Once it has acknowledged it, the newest index is awaited next.
func (p *progress) watchDisk(activeTime time.Duration, newest uint64) {
	if p.match.Index >= p.awaitedIndex {
		p.await(activeTime, newest)
	}
	p.slow = activeTime-p.awaitedSince > slowDiskTimeout
}

// await sets the index that the peer has to acknowledge next.
func (p *progress) await(activeTime time.Duration, index uint64) {
	p.awaitedIndex, p.awaitedSince, p.slow = index, activeTime, false
}

// progressMap contains the progress of peers by their ID.
type progressMap map[string]*progress

// of returns the progress of a peer and creates it if it is missing.
func (m progressMap) of(id string) *progress {
	p := m[id]
	if p == nil {
		p = &progress{}
		m[id] = p
	}
	return p
}

// heardAt returns when a peer was last heard; 0 if it never was.
func (m progressMap) heardAt(id string) time.Duration {
	if p := m[id]; p != nil {
		return p.heardAt
	}
	return 0
}

// beginEpoch resets what peers confirmed in the previous epoch. The times when they were last
// heard, their positions, which are unconfirmed now, and the waits for their disks are kept.
func (m progressMap) beginEpoch() {
	for _, p := range m {
		*p = progress{
			heardAt: p.heardAt, match: p.match, awaitedIndex: p.awaitedIndex, awaitedSince: p.awaitedSince,
			slowLoggedAt: p.slowLoggedAt, lagging: p.lagging,
		}
	}
}

// forgetPositions restarts replication to all peers after this replica's own log was
// replaced.
func (m progressMap) forgetPositions() {
	for _, p := range m {
		p.replicating, p.sentUpTo, p.windowStart = false, state.LogPosition{}, state.LogPosition{}
	}
}

// activeTransfers returns the number of peers that are being sent a snapshot.
func (m progressMap) activeTransfers(now time.Duration) (count int) {
	for _, p := range m {
		if p.transfer.active(now) {
			count++
		}
	}
	return count
}
