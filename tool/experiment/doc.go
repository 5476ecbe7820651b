// Package experiment measures dispatch policies on simulated days.
//
// A day is a workload with a set of faults. It is simulated with the deployed scheduler and
// state machine against modelled workers, clients and faults. Components that make no dispatch
// decisions are simplified: replicas, gateways and node agents are modelled as delays, and an
// outage of all control processes as a period without replies. Traffic and faults are generated
// from the seed before the simulation starts, so that every policy faces the same day.
package experiment
