package settings

// The roles of daemons, as the membership and the process log have them.
const (
	RoleReplica   = "keeper"
	RoleScheduler = "scheduler"
	RoleGateway   = "front"
)
