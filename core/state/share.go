package state

import "sorrelloom/core/config"

// shareSlots is the share of a class, in slots, rounded up.
func (s *Store) shareSlots(service, class string, totalSlots int) int {
	return slotsOfShare(s.config.Services[service].Classes[class].Share, totalSlots)
}

// slotsOfShare is a share in percent of so many slots, rounded up.
func slotsOfShare(percent, totalSlots int) int { return (totalSlots*percent + 99) / 100 }

// ClassUse gives the slots that a class uses and those of its share.
func (s *Store) ClassUse(service, class string) (usedSlots, shareSlots int) {
	load := s.ServiceLoad(service)
	return load.Used[class], s.shareSlots(service, class, load.Slots)
}

// CheckShare checks the share of a class, then asks the borrowing policy. Under way
// are slots by service and class that were asked for and are not leased yet.
func (s *Store) CheckShare(
	service, class string, requestedSlots int, underWay map[[2]string]int,
) (allowed, borrowed bool) {
	load := s.ServiceLoad(service)
	idle := load.Idle
	for of, slots := range underWay {
		if of[0] == service {
			idle -= slots
		}
	}
	share := s.shareSlots(service, class, load.Slots)
	used := load.Used[class] + underWay[[2]string{service, class}]
	if used+requestedSlots <= share || used == 0 && share > 0 {
		// What is larger than the share starts alone in its class, or it never could.
		return true, false
	}
	if s.policies.AlwaysAllowsBorrowing() {
		return true, true
	}
	return s.policies.Borrow(config.BorrowInput{
		Total: load.Slots, Idle: idle, Requested: requestedSlots, Used: used, Share: share,
		Waiting: s.unmetDemand(service, class), Class: class, Service: service,
	}), true
}
