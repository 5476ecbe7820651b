package scale

import (
	"context"
	"fmt"
	"time"

	"sorrelloom/core/leaderclient"
	"sorrelloom/core/machine"
	"sorrelloom/core/state"
	"sorrelloom/daemon/host"
	"sorrelloom/daemon/pool"
)

const (
	commandWait    = 2 * time.Second
	commandTimeout = 3 * time.Second
	// jobPayload has about the length of typical payloads.
	jobPayload   = `"0123456789012345678901234567890123456789"`
	taskMemoryMB = 100
)

// jobClasses are the classes assigned to jobs in rotation.
var jobClasses = []string{"c", "d", "q", "q", "q", "q"}

// execute executes a command through a gateway. Its result is zero if the call fails.
func (c *hollowCluster) execute(gateway *host.Runner, command state.Command) state.Result {
	ctx, cancel := context.WithTimeout(c.ctx, commandTimeout)
	defer cancel()
	request := machine.Request{Kind: leaderclient.RequestCommand, Decoded: command, Wait: commandWait}
	v, _ := gateway.Do(ctx, request)
	result, _ := v.(state.Result)
	return result
}

// submitJobs submits jobs at a constant rate for LoadDuration.
func (c *hollowCluster) submitJobs() {
	interval := time.Duration(float64(time.Second) * float64(c.config.TasksPerJob) / c.config.StartsPerSecond)
	start := time.Now()
	next := start
	for n := 1; time.Since(start) < c.config.LoadDuration; n++ {
		time.Sleep(time.Until(next))
		pool.Go(func() { c.submitJob(n) })
		next = next.Add(interval)
	}
}

// submitJob submits the job with the given number.
func (c *hollowCluster) submitJob(number int) {
	id := fmt.Sprintf("j%06d", number)
	c.mu.Lock()
	c.submittedAt[id] = time.Now()
	c.mu.Unlock()
	resources := state.Resources{Slots: c.config.SlotsPerTask, MemoryMB: taskMemoryMB}
	job := state.JobSpec{
		ID: id, Service: serviceName, Class: jobClasses[number%len(jobClasses)], Payload: []byte(jobPayload),
		Steps: []state.StepSpec{{Count: c.config.TasksPerJob, Resources: resources}},
	}
	c.jobs.Add(1)
	command := state.Command{Kind: state.KindAcceptJob, Summary: true, Job: job}
	if result := c.execute(c.gateways[number%len(c.gateways)], command); !result.Code.IsSuccess() {
		c.rejected.Add(1)
	}
}

// recordStart records the start of a task, and for the first task of a job its start latency.
func (c *hollowCluster) recordStart(job string) {
	c.starts.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.submittedAt[job]; ok {
		c.startLatencies = append(c.startLatencies, time.Since(at))
		delete(c.submittedAt, job)
	}
}
