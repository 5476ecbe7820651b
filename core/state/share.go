package state

import "sorrelloom/core/config"

// shareSlots is the share of a class, in slots, rounded up.
func (s *Store) shareSlots(service, class string, totalSlots int) int {
	return slotsOfShare(s.Class(service, class).Share, totalSlots)
}

// slotsOfShare is a share in percent of so many slots, rounded up.
func slotsOfShare(percent, totalSlots int) int { return (totalSlots*percent + 99) / 100 }

// ClassUse gives the slots that a class uses and those of its share.
func (s *Store) ClassUse(service, class string) (usedSlots, shareSlots int) {
	load := s.ServiceLoad(service)
	return load.Used[class], s.shareSlots(service, class, load.Slots)
}

// CheckShare checks the share of a class, then asks the borrowing policy. Under way
// are slots by class that were asked for and are not leased yet.
func (s *Store) CheckShare(
	key ClassKey, requestedSlots int, underWay map[ClassKey]int,
) (allowed, borrowed bool) {
	load := s.ServiceLoad(key.Service)
	idle := load.Idle
	for class, slots := range underWay {
		if class.Service == key.Service {
			idle -= slots
		}
	}
	share := s.shareSlots(key.Service, key.Class, load.Slots)
	used := load.Used[key.Class] + underWay[key]
	if used+requestedSlots <= share || used == 0 && share > 0 {
		// What is larger than the share starts alone in its class, or it never could.
		return true, false
	}
	if s.policies.AlwaysAllowsBorrowing() {
		return true, true
	}
	return s.policies.Borrow(config.BorrowInput{
		Total: load.Slots, Idle: idle, Requested: requestedSlots, Used: used, Share: share,
		Waiting: s.unmetDemand(key.Service, key.Class), Class: key.Class, Service: key.Service,
	}), true
}
