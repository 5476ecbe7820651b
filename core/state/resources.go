package state

// FreeResources is what a worker has left: what it reported free, less every lease
// that it had not yet listed when it did, less what may still run of an earlier
// incarnation; and never more than its capacity less all leases, those that are being
// stopped included, and less what it runs without a lease.
func (s *Store) FreeResources(worker string) Resources {
	record := s.workerRecord(worker)
	return s.freeResourcesWith(record, record.Free)
}

// freeResourcesWith is what a worker has left that reports so much free.
func (s *Store) freeResourcesWith(worker *Worker, free Resources) Resources {
	return worker.freeResources(s.usageOf(worker.ID()), free)
}

// freeResources is what the worker has left if it reports so much free and its leases sum
// up to usage.
func (w *Worker) freeResources(usage *workerUsage, free Resources) Resources {
	return free.Sub(usage.unreported).Min(w.Capacity.Sub(w.Unleased).Sub(usage.used))
}

// StoppingResources are those of the leases on a worker that are being stopped.
func (s *Store) StoppingResources(worker string) Resources { return s.usageOf(worker).stopping }
