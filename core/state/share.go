package state

import "sorrelloom/core/config"

// shareSlots returns the share of a class in slots, rounded up.
func (s *Store) shareSlots(service, class string, totalSlots int) int {
	return slotsOfShare(s.Class(service, class).Share, totalSlots)
}

// slotsOfShare converts a share in percent to slots, rounded up.
func slotsOfShare(percent, totalSlots int) int { return (totalSlots*percent + 99) / 100 }

// ClassUse returns the number of slots that a class uses and the number in its share.
func (s *Store) ClassUse(service, class string) (usedSlots, shareSlots int) {
	load := s.ServiceLoad(service)
	return load.Used[class], s.shareSlots(service, class, load.Slots)
}

// CheckShare reports whether a class may lease the requested slots in addition, either within
// its share or by the borrowing policy, and whether they would be borrowed. The slots in
// pending were requested for a class and are not leased yet.
func (s *Store) CheckShare(
	key ClassKey, requestedSlots int, pending map[ClassKey]int,
) (allowed, borrowed bool) {
	load := s.ServiceLoad(key.Service)
	idle := load.Idle
	for class, slots := range pending {
		if class.Service == key.Service {
			idle -= slots
		}
	}
	share := s.shareSlots(key.Service, key.Class, load.Slots)
	used := load.Used[key.Class] + pending[key]
	if used+requestedSlots <= share || used == 0 && share > 0 {
		// A request larger than the share is allowed while the class uses nothing, because
		// otherwise it could never start.
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
