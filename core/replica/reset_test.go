package replica

// resetLog drops the log's tail, so that it begins at the replica's position.
func (r *Replica) resetLog() {
	r.log.reset(r.log.store)
	r.replication.broadcastEnd = r.log.position()
}
