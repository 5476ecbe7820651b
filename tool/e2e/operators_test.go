package e2e

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/gateway"
	"sorrelloom/core/state"
	"sorrelloom/tool/deploy"
	"sorrelloom/tool/fakeworker"
	"sorrelloom/tool/fleet"
	"sorrelloom/tool/sim"
)

// The zone and the worker that operators drain, the worker that leaves on its own, and another
// worker.
const (
	drainedZone   = "b"
	drainedWorker = "standin-1"
	leavingWorker = "standin-3"
	otherWorker   = "standin-2"
)

// shortJobsDuration is how long short jobs are submitted after the drains. It is well above the
// longest time bound that the oracle checks.
const shortJobsDuration = 8 * time.Second

// wallClock returns the time used in all records, as the duration since the Unix epoch.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// recordedFleet is a fleet whose clients and operators record their observations.
type recordedFleet struct {
	*testFleet
	records sim.Records
}

// submitRecorded submits a job and returns its index in the job records.
func (f *recordedFleet) submitRecorded(spec state.JobSpec) int {
	f.t.Helper()
	f.submit(spec)
	f.records.Jobs = append(f.records.Jobs, sim.JobRecord{Spec: spec})
	return len(f.records.Jobs) - 1
}

// readState returns the state of a job, and records when it has ended.
func (f *recordedFleet) readState(number int) string {
	f.t.Helper()
	record := &f.records.Jobs[number]
	var view gateway.JobView
	response := f.call("GET", "/v1/jobs/"+record.Spec.ID, nil)
	if response.Status != http.StatusOK || response.Decode(&view) != nil {
		f.t.Fatalf("status of %s: %d %s", record.Spec.ID, response.Status, response.Body)
	}
	record.State = view.State
	if slices.Contains([]string{state.Done, state.Failed, state.Cancelled}, view.State) {
		record.EndedAt = wallClock()
	}
	return view.State
}

// waitState waits until a job is in the wanted state.
func (f *recordedFleet) waitState(number int, want string) {
	f.t.Helper()
	if !fleet.Poll(eventTimeout, func() bool { return f.readState(number) == want }) {
		record := f.records.Jobs[number]
		f.t.Fatalf("%s is %s, not %s", record.Spec.ID, record.State, want)
	}
}

// cancelLargeJob cancels a job with many tasks while it runs, and returns its index.
func (f *recordedFleet) cancelLargeJob() int {
	f.t.Helper()
	traffic := deploy.Traffic{Class: "check", StepWidths: []int{80}, RunMillis: 1500, Cores: 1}
	job := f.submitRecorded(traffic.NewJob(f.deployment.Service, "cancelled"))
	f.waitState(job, state.Running)
	f.mustCall("DELETE", "/v1/jobs/cancelled", nil)
	f.records.Jobs[job].CancelledAt = wallClock()
	return job
}

// runGangAndFailingJob runs a gang, and a job whose task exhausts its allowed failures.
func (f *recordedFleet) runGangAndFailingJob() {
	f.t.Helper()
	service := f.deployment.Service
	gang := deploy.Traffic{Class: "check", StepWidths: []int{5}, RunMillis: 300, Cores: 1}.NewJob(service, "gang")
	for i := range gang.Tasks {
		gang.Tasks[i].Gang = "g"
	}
	failing := deploy.Traffic{Class: "lookup", StepWidths: []int{1}, RunMillis: 20, Cores: 1}.NewJob(service, "spent")
	failing.Tasks[0].Payload, failing.Tasks[0].MaxFailures = []byte(`{"runMs":20,"fail":true}`), 2
	gangJob, failingJob := f.submitRecorded(gang), f.submitRecorded(failing)
	f.waitState(failingJob, state.Failed)
	f.waitState(gangJob, state.Done)
}

// drain drains a zone and a worker, and makes another worker announce that it leaves.
func (f *recordedFleet) drain() {
	f.t.Helper()
	if response := f.call("POST", "/v1/sites/nowhere/empty", nil); response.Status != http.StatusNotFound {
		f.t.Errorf("drain of an unknown zone: %d %s", response.Status, response.Body)
	}
	f.mustCall("POST", "/v1/sites/"+drainedZone+"/empty", nil)
	f.records.DrainedZones = append(f.records.DrainedZones, sim.ZoneDrain{Zone: drainedZone, From: wallClock()})
	f.mustCall("POST", "/v1/workers/"+drainedWorker+"/drain", nil)
	f.recordLeaving(drainedWorker)
	leaving, err := f.Process(leavingWorker)
	f.must(err)
	response, err := f.Client.CallAddress(
		leaving.HTTPAddress, "POST", "/faults", []byte(`{"leave":true}`), nil, 5*time.Second)
	if err != nil || response.Status != http.StatusOK {
		f.t.Fatalf("leave: %v %s", err, response.Body)
	}
	f.recordLeaving(leavingWorker)
}

// recordLeaving records that a worker leaves permanently.
func (f *recordedFleet) recordLeaving(worker string) {
	f.records.LeavingWorkers = append(f.records.LeavingWorkers,
		sim.WorkerDrain{Worker: worker, From: wallClock(), To: math.MaxInt64})
}

// refillAfterShortJobs runs short jobs sequentially for shortJobsDuration after the drain of the
// zone, then refills the zone.
func (f *recordedFleet) refillAfterShortJobs() {
	f.t.Helper()
	drain := &f.records.DrainedZones[0]
	submitted := 0
	for ; wallClock() < drain.From+shortJobsDuration; submitted++ {
		f.waitState(f.submitRecorded(f.newJob(0, fmt.Sprintf("short-%d", submitted))), state.Done)
	}
	if submitted == 0 {
		f.t.Error("no short jobs were submitted")
	}
	f.mustCall("POST", "/v1/sites/"+drainedZone+"/refill", nil)
	drain.To = wallClock()
}

// changeConfig changes the configuration. Every daemon must report the new version.
func (f *recordedFleet) changeConfig() {
	f.t.Helper()
	f.mustCall("PATCH", "/v1/plan?force=true", []byte(`{"limits":{"maxLosses":21}}`))
	for _, role := range []string{fleet.RoleReplica, fleet.RoleScheduler, fleet.RoleGateway} {
		for _, p := range f.processesOf(role) {
			shown := fleet.Poll(eventTimeout, func() bool {
				var status struct {
					ConfigVersion uint64 `json:"planSequence"`
				}
				response, err := f.Client.CallAddress(p.HTTPAddress, "GET", "/status", nil, nil, time.Second)
				return err == nil && response.Decode(&status) == nil && status.ConfigVersion >= 2
			})
			if !shown {
				f.t.Errorf("%s does not show the new configuration", p.Name)
			}
		}
	}
}

// checkRecords checks all records with the oracle, and that each relevant check was exercised.
func (f *recordedFleet) checkRecords() {
	f.t.Helper()
	violations, checked := sim.CheckRecords(f.records)
	for _, violation := range violations {
		f.t.Errorf("%s: %s", violation.Check, violation.Reason)
	}
	for _, check := range []string{
		"start-while-draining", "start-in-emptied-site", "start-after-cancel", "gang-alone", "defects-spent",
		"finished-with-open-task", "twice-at-once", "over-room",
	} {
		if checked[check] == 0 {
			f.t.Errorf("the check %s was never exercised", check)
		}
	}
	attempts := 0
	for _, r := range f.records.Runs {
		if r.Job == "spent" {
			attempts++
		}
	}
	if attempts != 2 {
		f.t.Errorf("a task with two allowed failures ran %d times; %d jobs", attempts, len(f.records.Jobs))
	}
}

// checkCorruptedRecords adds an illegal start to the records, which the oracle must detect.
func (f *recordedFleet) checkCorruptedRecords() {
	f.t.Helper()
	drainedAt := f.records.DrainedZones[0].From
	corrupted := f.records
	corrupted.Runs = append(slices.Clone(f.records.Runs), fakeworker.Run{
		Attempt: state.Attempt{Job: "cancelled", Task: "s1-80", Number: 9}, Worker: otherWorker,
		Class: "check", Service: f.deployment.Service,
		Start: drainedAt + 6*time.Second, End: drainedAt + 7*time.Second, Outcome: fakeworker.OutcomeStopped,
	})
	if found, _ := sim.CheckRecords(corrupted); len(found) < 2 {
		f.t.Errorf("the oracle missed the start of a cancelled job in a drained zone: %v", found)
	}
}

// TestFleetHonorsOperatorRequests drains a zone and workers, cancels a job, runs a gang, exhausts
// a task's allowed failures and changes the configuration on real processes, while short jobs
// run. The oracle checks the workers' records against the times of the replies.
func TestFleetHonorsOperatorRequests(t *testing.T) {
	f := &recordedFleet{testFleet: startFleet(t, "reseller", 3, 2, 5)}
	cancelled := f.cancelLargeJob()
	f.runGangAndFailingJob()
	f.drain()
	f.refillAfterShortJobs()
	f.changeConfig()
	f.waitState(cancelled, state.Cancelled)
	f.records.Runs, f.records.Workers = f.collectRecords()
	f.checkRecords()
	f.checkCorruptedRecords()
}
