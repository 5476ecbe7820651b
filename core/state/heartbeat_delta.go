package state

import "slices"

// A heartbeat that does not change the state becomes no command of its own: the primary renews
// the leases of all workers that sent a heartbeat since its last renewal by one command (see
// renewWorkers). A heartbeat that changes the state is reduced to its changes before it becomes
// a command, so that the size of the command does not depend on the number of running attempts.

// ReduceHeartbeat compares a heartbeat with the state. If changes is false, applying the
// heartbeat would only renew the worker's lease. Otherwise the returned heartbeat has all that
// a command needs; it is valid at the current log position only.
//
// A worker that has announced that it leaves is leaving for the rest of its incarnation, even
// if its agent has been restarted since and does not know of the announcement.
func (s *Store) ReduceHeartbeat(hb Heartbeat) (reduced Heartbeat, changes bool) {
	_, known := s.workers[hb.Worker]
	worker := s.workerRecord(hb.Worker)
	if known && worker.Incarnation == hb.Incarnation && worker.Leaving && !hb.Leaving {
		hb.Leaving, hb.LeavesIn = true, worker.LeavesIn
	}
	report := hb
	hb.AwaitingGang, hb.LastReply = nil, 0
	if known && worker.mayBeNewerThan(&hb) {
		return worker.reduceUnconfirmed(hb)
	}
	if !known || worker.ConfirmedDead || !sameIdentity(&worker.Heartbeat, &hb) || hb.Number < worker.Number ||
		hb.Total == (Resources{}) || hb.Free.Slots < 0 {
		return hb, true
	}
	reduced = hb
	reduced.Delta, reduced.Unconfirmed = true, false
	reduced.Zone, reduced.Rack, reduced.Service, reduced.Address, reduced.Labels = "", "", "", "", nil
	reduced.Running, reduced.NotRunning = s.compareLeases(&report)
	changes = len(reduced.Running)+len(reduced.NotRunning)+len(hb.Ended)+len(hb.Progress) > 0 ||
		worker.Unleased != (Resources{}) || s.freeResourcesMatter(worker, hb.Free) || worker.Total != hb.Total ||
		worker.Leaving != hb.Leaving || (worker.LeavesIn == 0) != (hb.LeavesIn == 0)
	return reduced, changes
}

// KnowsWorker reports whether the worker of a heartbeat is known in the same incarnation and with the
// same zone, rack, service, address and labels, and was not confirmed dead.
func (s *Store) KnowsWorker(hb *Heartbeat) bool {
	worker, known := s.workers[hb.Worker]
	return known && !worker.ConfirmedDead && sameIdentity(&worker.Heartbeat, hb)
}

// mayBeNewerThan reports whether the worker's record may be based on a later call than a
// heartbeat of the same incarnation: the heartbeat is unconfirmed, or has a lower call number.
func (w *Worker) mayBeNewerThan(hb *Heartbeat) bool {
	return hb.Incarnation == w.Incarnation && !w.ConfirmedDead &&
		(hb.Unconfirmed || hb.isFromEarlierCall(&w.Heartbeat))
}

// reduceUnconfirmed reduces a heartbeat to the information that holds whenever it was sent:
// that its worker was alive, that it is leaving, and which of its attempts have ended.
func (w *Worker) reduceUnconfirmed(hb Heartbeat) (reduced Heartbeat, changes bool) {
	reduced = Heartbeat{
		Worker: hb.Worker, Incarnation: hb.Incarnation, Number: hb.Number, CallNumber: hb.CallNumber,
		Free: w.Free, Total: w.Total, Leaving: hb.Leaving, LeavesIn: hb.LeavesIn, Ended: hb.Ended,
		Delta: true, Unconfirmed: true,
	}
	changes = len(hb.Ended) > 0 || w.Leaving != hb.Leaving || (w.LeavesIn == 0) != (hb.LeavesIn == 0)
	return reduced, changes
}

// freeResourcesMatter reports whether the free resources in a heartbeat change the state. A
// decrease always does. An increase does not if the worker's free resources are limited by its
// capacity less its leases: the heartbeat that ends one of the leases reports the increase
// again.
func (s *Store) freeResourcesMatter(worker *Worker, free Resources) bool {
	if !free.Covers(worker.Free) {
		return true
	}
	return s.freeResourcesWith(worker, free) != s.freeResourcesWith(worker, worker.Free)
}

// sameIdentity reports whether two heartbeats of a worker have the same incarnation, zone, rack,
// service, address and labels.
func sameIdentity(a, b *Heartbeat) bool {
	return a.Incarnation == b.Incarnation && a.Zone == b.Zone && a.Rack == b.Rack && a.Service == b.Service &&
		a.Address == b.Address && slices.Equal(a.Labels, b.Labels)
}

// withIdentity returns a reduced heartbeat with the zone, rack, service, address and labels of
// the worker's record filled in.
func (w Worker) withIdentity(hb Heartbeat) Heartbeat {
	hb.Zone, hb.Rack, hb.Service, hb.Address, hb.Labels = w.Zone, w.Rack, w.Service, w.Address, w.Labels
	return hb
}

// compareLeases returns the attempts listed by a heartbeat that are not a started lease of the
// worker (added), and the worker's leases that the heartbeat shows not to be running
// (notRunning). A lease whose start order the worker may not have received is in neither: the
// order is sent again.
func (s *Store) compareLeases(hb *Heartbeat) (added, notRunning []Attempt) {
	leases := s.usageOf(hb.Worker).leases
	listed, find := make([]bool, len(leases)), leases.finder()
	for _, attempt := range hb.Running {
		i := find(attempt)
		if i >= 0 {
			listed[i] = true
		}
		if i < 0 || leases[i].task.Lease.StartedAt == 0 || !leases[i].task.Lease.heldBy(hb) {
			added = append(added, attempt)
		}
	}
	for i := range leases {
		if lease := &leases[i].task.Lease; !listed[i] && lease.heldBy(hb) && hb.showsNotRunningDespiteOrder(lease) {
			notRunning = append(notRunning, leases[i].attempt())
		}
	}
	slices.SortFunc(notRunning, Attempt.compare)
	return added, notRunning
}
