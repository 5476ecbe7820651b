package state

import (
	"maps"
	"slices"

	"sorrelloom/core/status"
)

// DrainedZones returns the names of the drained zones in ascending order; never nil.
func (s *Store) DrainedZones() []string {
	return append([]string{}, slices.Sorted(maps.Keys(s.drainedZones))...)
}

// drainZone drains a zone or refills it, unless a later order has done the opposite. In a
// drained zone, started tasks may run to their end; leases that are not started are stopped.
func (s *Store) drainZone(cmd Command) Result {
	zone := cmd.Name
	if known := s.knownZones(); !slices.Contains(known, zone) {
		if s.config.Version == 0 {
			return rejectForNow(noConfigRetryAfter, status.NoConfig,
				"there is no plan yet, and nobody has been heard of in site %q", zone)
		}
		return rejectUnknownName("site", zone, known)
	}
	if age := s.now - cmd.RequestedAt; cmd.MaxAge > 0 && age > cmd.MaxAge {
		return reject(status.RequestExpired, "asked %s ago; an order older than %s is not carried out", age, cmd.MaxAge)
	}
	if cmd.MaxAge > 0 && s.zoneOrders[zone] > cmd.ConfirmedIndex {
		if s.drainedZones[zone] != cmd.Drain {
			return reject(status.RequestExpired, "a later order was carried out for site %q", zone)
		}
		return Result{Code: status.AlreadyDone}
	}
	s.setZoneDrained(zone, cmd.Drain)
	return Result{Code: status.OK}
}

// setZoneDrained applies an order to drain or refill a zone, without any checks.
func (s *Store) setZoneDrained(zone string, drain bool) {
	s.zoneOrders[zone] = s.position.Index
	clear(s.serviceLoads)
	if drain {
		s.drainedZones[zone] = true
		s.audit.record(Decision{Kind: decisionDrainZone, Name: zone})
		for _, id := range slices.Sorted(maps.Keys(s.workers)) {
			if s.workers[id].Zone == zone {
				s.stopUnstarted(id, stopReasonZoneDrain)
			}
		}
	} else {
		delete(s.drainedZones, zone)
		s.audit.record(Decision{Kind: decisionRefillZone, Name: zone})
	}
	s.changes = append(s.changes, Change{All: true})
}

// knownZones returns the zones in ascending order: those of the configuration, of the known
// workers and schedulers, and the drained ones.
func (s *Store) knownZones() []string {
	zones := maps.Clone(s.drainedZones)
	for _, zone := range s.config.Zones {
		zones[zone] = true
	}
	for _, worker := range s.workers {
		zones[worker.Zone] = true
	}
	for _, scheduler := range s.schedulers {
		zones[scheduler.Zone] = true
	}
	return slices.Sorted(maps.Keys(zones))
}
