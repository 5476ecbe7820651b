package state

// FreeResources returns the resources that a worker has left for new leases: those that it
// reported free, minus the leases that it has not yet listed as running and those of
// attempts of an earlier incarnation that may still run. The result is at most the worker's
// capacity minus all its leases, including those that are being stopped, and minus what it
// runs without a lease.
func (s *Store) FreeResources(worker string) Resources {
	record := s.workerRecord(worker)
	return s.freeResourcesWith(record, record.Free)
}

// freeResourcesWith returns the resources that a worker has left if it reports the given
// ones as free.
func (s *Store) freeResourcesWith(worker *Worker, free Resources) Resources {
	return worker.freeResources(s.usageOf(worker.ID()), free)
}

// freeResources returns the resources that the worker has left if it reports the given ones
// as free and usage is the sum of its leases.
func (w *Worker) freeResources(usage *workerUsage, free Resources) Resources {
	return free.Sub(usage.unreported).Min(w.Capacity.Sub(w.Unleased).Sub(usage.used))
}

// StoppingResources returns the resources of a worker's leases that are being stopped.
func (s *Store) StoppingResources(worker string) Resources { return s.usageOf(worker).stopping }
