package dispatch

import "sorrelloom/core/state"

// Requeue takes a task that nobody has taken for long out of its queue, and queues it anew
// from the state. For a member of a gang, that of the whole gang is.
func (d *Dispatcher) Requeue(store *state.Store, ref TaskRef) {
	job, ok := store.Job(ref.Job)
	if !ok || ref.Index >= len(job.Tasks) {
		return
	}
	if job.Spec.Tasks[ref.Index].Gang != "" {
		for !isGangHead(job, ref.Index) {
			ref.Index--
		}
	}
	d.placement = lastPlacement{}
	d.dequeue(ref)
	d.updateTask(store, ref)
}
