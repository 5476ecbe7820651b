package wire

// Roles of nodes in the membership's messages and in the process log. The values are
// those of earlier releases, which run beside this one during a rolling upgrade.
const (
	// RoleReplica is a process with a replica of the state.
	RoleReplica = "keeper"
	// RoleScheduler is a process that dispatches for a zone.
	RoleScheduler = "scheduler"
	// RoleGateway is a process that serves the HTTP API.
	RoleGateway = "front"
	// RoleProxy is a control process without a disk, which only names the leader.
	RoleProxy = "proxy"
)
