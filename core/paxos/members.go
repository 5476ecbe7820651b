package paxos

import (
	"slices"

	"sorrelloom/core/wire"
)

// HasMajority reports whether more than half of the members have voted. Votes are keyed by
// member ID.
func HasMajority(members []wire.Member, votes map[string]bool) bool {
	count := 0
	for _, member := range members {
		if votes[member.ID] {
			count++
		}
	}
	return count > len(members)/2
}

// UnionMembers returns a new slice with the members of both lists, without duplicates.
func UnionMembers(a, b []wire.Member) []wire.Member {
	out := slices.Clone(a)
	for _, member := range b {
		if !ContainsMember(a, member.ID) {
			out = append(out, member)
		}
	}
	return out
}

// ContainsMember reports whether members contains one with the given ID.
func ContainsMember(members []wire.Member, id string) bool {
	return slices.ContainsFunc(members, func(member wire.Member) bool { return member.ID == id })
}
