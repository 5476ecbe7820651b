package paxos

import (
	"slices"

	"sorrelloom/core/wire"
)

// HasMajority says whether more than half of the members are among the voters' identities.
func HasMajority(members []wire.Member, votes map[string]bool) bool {
	count := 0
	for _, member := range members {
		if votes[member.ID] {
			count++
		}
	}
	return count > len(members)/2
}

// UnionMembers are the members of both lists, each once, in a new slice.
func UnionMembers(a, b []wire.Member) []wire.Member {
	out := slices.Clone(a)
	for _, member := range b {
		if !ContainsMember(a, member.ID) {
			out = append(out, member)
		}
	}
	return out
}

// ContainsMember says whether a member with an identity is in a list.
func ContainsMember(members []wire.Member, id string) bool {
	return slices.ContainsFunc(members, func(member wire.Member) bool { return member.ID == id })
}
