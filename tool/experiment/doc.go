// Package experiment measures dispatch policies on simulated days.
//
// A day is played by the scheduler and the state machine as they are deployed, against
// modelled workers, callers and faults. What is left out is what does not decide: the
// replicas, the gateways and the node agents stand as delays, and an outage of all control
// processes as a time in which nobody answers. Traffic and faults are drawn before a day is
// played, by its seed, so that two policies meet the same day.
package experiment
