package state

// FreeResources is what a worker has left: what it reported free, less every lease
// that it had not yet listed when it did, less what may still run of an earlier
// incarnation; and never more than its capacity less all leases, those that are being
// stopped included, and less what it runs without a lease.
func (s *Store) FreeResources(worker string) Resources {
	record := s.workers[worker]
	return s.freeResourcesWith(record, record.Free)
}

// freeResourcesWith is what a worker has left that reports so much free.
func (s *Store) freeResourcesWith(worker Worker, free Resources) Resources {
	usage := s.usage[worker.ID()]
	return free.Sub(usage.unreported).Min(worker.Capacity.Sub(worker.Unleased).Sub(usage.used))
}

// StoppingResources are those of the leases on a worker that are being stopped.
func (s *Store) StoppingResources(worker string) Resources { return s.usage[worker].stopping }
