package e2e

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/gateway"
	"sorrelloom/core/replica"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/core/wire"
	"sorrelloom/daemon/audit"
	"sorrelloom/daemon/client"
	"sorrelloom/daemon/pool"
	"sorrelloom/tool/fleet"
)

// TestFleetSurvivesPrimaryKill kills the primary replica while jobs run and submits more jobs.
// All jobs must finish, and another replica must become primary.
func TestFleetSurvivesPrimaryKill(t *testing.T) {
	f := startFleet(t, "reseller", 3, 2, 4)
	var jobs []state.JobSpec
	for i := range 12 {
		jobs = append(jobs, f.newJob(i%3, fmt.Sprintf("before-%d", i)))
		f.submit(jobs[i])
	}
	large, err := f.Client.Call("POST", "/v1/jobs", make([]byte, 5<<20), nil, callTimeout)
	var outcome gateway.Outcome
	if err != nil || large.Status != http.StatusRequestEntityTooLarge || large.Decode(&outcome) != nil ||
		outcome.Code != status.TooLarge {
		t.Errorf("reply to a body of 5 MiB: %v %d %s", err, large.Status, large.Body)
	}
	primary := f.Primary()
	if primary == "" {
		t.Fatal("no replica reports to be serving")
	}
	f.must(f.Kill(primary))
	for i := range 6 {
		jobs = append(jobs, f.newJob(i%2, fmt.Sprintf("after-%d", i)))
		f.submit(jobs[12+i])
	}
	for _, job := range jobs {
		f.waitDone(job.ID)
	}
	if next := f.Primary(); next == "" || next == primary {
		t.Fatalf("primary after the kill: %q, before: %q", next, primary)
	}
	f.checkRuns(jobs)
}

// jobWaves submits jobs in waves, each of which must be done before the next one starts.
type jobWaves struct {
	*testFleet
	jobs []state.JobSpec
}

// runWave submits a wave of jobs and waits until they are done.
func (w *jobWaves) runWave(name string) {
	w.t.Helper()
	first := len(w.jobs)
	for i := range 6 {
		job := w.newJob(i%2, fmt.Sprintf("%s-%d", name, i))
		w.submit(job)
		w.jobs = append(w.jobs, job)
	}
	for _, job := range w.jobs[first:] {
		w.waitDone(job.ID)
	}
}

// TestFleetUnderFreezesPartitionsAndEmptyReplica injects one fault after the other, and requires
// that the jobs submitted during and after each fault finish.
func TestFleetUnderFreezesPartitionsAndEmptyReplica(t *testing.T) {
	f := startFleet(t, "podcast", 3, 3, 4)
	waves := &jobWaves{testFleet: f}
	waves.runWave("quiet")
	waves.freezePrimary()
	waves.runWaveDuringFault([2]string{"scheduler-1", "front-1"}, f.Freeze, f.Resume, "scheduler-and-gateway-frozen")
	waves.runWave("both-resumed")
	waves.runWaveDuringFault([2]string{"scheduler-2", "front-2"}, f.Kill, f.StartProcess, "scheduler-and-gateway-killed")
	waves.partitionPrimary()
	waves.replacePrimary()
	f.must(f.Kill(f.Primary()))
	waves.runWave("killed-again")
	f.checkRuns(waves.jobs)

	f.raceConfigChanges()
	f.Close()
	f.verifyAudit(4 * len(waves.jobs))
}

func (w *jobWaves) freezePrimary() {
	w.t.Helper()
	frozen := w.Primary()
	w.must(w.Freeze(frozen))
	w.runWave("primary-frozen")
	w.must(w.Resume(frozen))
	changed := func() bool {
		primary := w.Primary()
		return primary != "" && primary != frozen
	}
	if !fleet.Poll(eventTimeout, changed) {
		w.t.Fatalf("the frozen primary %s is still the primary", frozen)
	}
	w.runWave("primary-resumed")
}

// runWaveDuringFault injects a fault into two processes, runs a wave of jobs, and undoes the
// fault.
func (w *jobWaves) runWaveDuringFault(names [2]string, inject, heal func(name string) error, wave string) {
	w.t.Helper()
	for _, name := range names {
		w.must(inject(name))
	}
	w.runWave(wave)
	for _, name := range names {
		w.must(heal(name))
	}
}

func (w *jobWaves) partitionPrimary() {
	w.t.Helper()
	primary := w.Primary()
	setPartition := func(partitioned bool) {
		w.t.Helper()
		for _, p := range w.processesOf(fleet.RoleReplica) {
			if p.Name != primary {
				w.must(w.SetPartition(p.Name, primary, partitioned))
				w.must(w.SetPartition(primary, p.Name, partitioned))
			}
		}
	}
	setPartition(true)
	w.runWave("primary-partitioned")
	setPartition(false)
	w.runWave("primary-reconnected")
}

// replacePrimary kills the primary and adds an empty replica at a new address, which must become
// a voter.
func (w *jobWaves) replacePrimary() {
	const name = "keeper-new"
	w.t.Helper()
	w.must(w.Kill(w.Primary()))
	w.must(w.AddReplica(name, "a", w.SchedulerSeeds()))
	p, err := w.Process(name)
	w.must(err)
	joined := fleet.Poll(eventTimeout, func() bool {
		var status replica.Status
		response, err := w.Client.CallAddress(p.HTTPAddress, "GET", "/status", nil, nil, time.Second)
		if err != nil || response.Decode(&status) != nil {
			return false
		}
		return slices.ContainsFunc(status.View.Voters, func(m wire.Member) bool { return m.ID == status.ID })
	})
	if !joined {
		w.t.Fatal("the empty replica at a new address did not join")
	}
	w.runWave("replica-replaced")
}

// verifyAudit verifies the audit logs of all replicas, which must have at least minEntries
// entries.
func (f *testFleet) verifyAudit(minEntries int) {
	f.t.Helper()
	var logs []string
	for _, name := range f.ProcessNames() {
		directory := filepath.Join(f.Directory(), name, "audit")
		if _, err := os.Stat(filepath.Join(directory, "checkpoint")); err == nil {
			logs = append(logs, directory)
		}
	}
	report, err := audit.Verify(logs, nil)
	if err != nil || len(report.Findings) > 0 || report.EntryCount < minEntries {
		f.t.Errorf("audit of %d replicas: %+v %v", len(logs), report, err)
	}
}

// raceConfigChanges sends two concurrent changes with the same base version. One must succeed,
// the other must be rejected with the new version.
func (f *testFleet) raceConfigChanges() {
	f.t.Helper()
	response, err := f.Client.Call("GET", "/v1/plan", nil, nil, callTimeout)
	var current config.Config
	if err != nil || response.Decode(&current) != nil {
		f.t.Fatal(err, string(response.Body))
	}
	responses := make(chan client.Response, 2)
	for i := range 2 {
		pool.Go(func() {
			body := fmt.Appendf(nil, `{"limits":{"maxLosses":%d}}`, 30+i)
			path := fmt.Sprintf("/v1/plan?base=%d", current.Version)
			key := map[string]string{"Idempotency-Key": fmt.Sprint("operator", i)}
			response, err := f.Client.Call("PATCH", path, body, key, callTimeout)
			if err != nil {
				response.Status = -1
			}
			responses <- response
		})
	}
	winner, loser := <-responses, <-responses
	if winner.Status != http.StatusOK {
		winner, loser = loser, winner
	}
	var lost gateway.Outcome
	if winner.Status != http.StatusOK || loser.Status != http.StatusConflict || loser.Decode(&lost) != nil ||
		lost.Version != current.Version+1 {
		f.t.Errorf("want one success and one conflict with the new version, got %d %s, %d %s",
			winner.Status, winner.Body, loser.Status, loser.Body)
	}
}
