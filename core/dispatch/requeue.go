package dispatch

import "sorrelloom/core/state"

// Requeue removes a task that no worker has taken for long from its queue, and queues it again
// from the state. For a member of a gang it requeues the whole gang.
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
