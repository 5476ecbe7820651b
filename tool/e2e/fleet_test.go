// Package e2e tests fleets of real processes on loopback addresses. Every wait is for an event,
// with a timeout far above the time that the event usually takes.
package e2e

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"sorrelloom/core/gateway"
	"sorrelloom/core/state"
	"sorrelloom/daemon/client"
	"sorrelloom/tool/deploy"
	"sorrelloom/tool/fakeworker"
	"sorrelloom/tool/fleet"
	"sorrelloom/tool/sim"
)

const (
	// eventTimeout bounds the wait for an event.
	eventTimeout = 60 * time.Second
	callTimeout  = 10 * time.Second
)

// binaryDir holds the programs under test.
var binaryDir string

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "sorrelloom-e2e-")
	if err != nil {
		panic(err)
	}
	binaryDir = directory
	build := exec.Command("go", "build", "-o", directory+string(filepath.Separator),
		"sorrelloom/daemon/cmd/replica", "sorrelloom/daemon/cmd/scheduler",
		"sorrelloom/daemon/cmd/gateway", "sorrelloom/tool/cmd/fakeworker")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	status := m.Run()
	os.RemoveAll(directory)
	os.Exit(status)
}

// freeBasePort returns a port that is followed by count unused ports.
func freeBasePort(t *testing.T, count int) int {
	t.Helper()
	for base := 21000; base < 32000; base += 200 {
		free := true
		for i := 1; i <= count && free; i++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
			if free = err == nil; free {
				listener.Close()
			}
		}
		if free {
			return base
		}
	}
	t.Fatal("no free ports")
	return 0
}

// testFleet is a fleet under test. Its methods fail the test on errors.
type testFleet struct {
	*fleet.Fleet
	t          *testing.T
	deployment deploy.Deployment
}

// startFleet starts a fleet, waits until it is ready, and stores its configuration. If the test
// fails, the ends of the processes' logs are printed.
func startFleet(t *testing.T, name string, schedulers, gateways, workers int) *testFleet {
	t.Helper()
	deployment, err := deploy.Get(name)
	if err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	f, err := fleet.Start(fleet.Config{
		BinaryDir: binaryDir, Directory: directory, BasePort: freeBasePort(t, 80), Deployment: deployment,
		Replicas: 3, Schedulers: schedulers, Gateways: gateways, Workers: workers, Proxies: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.Close()
		if t.Failed() {
			printLogs(t, directory)
		}
	})
	if !fleet.Poll(eventTimeout, f.Ready) {
		t.Fatal("the fleet did not become ready")
	}
	response, err := f.Client.Call("PUT", "/v1/plan?base=0", deployment.Config, nil, callTimeout)
	if err != nil || response.Status != http.StatusOK {
		t.Fatalf("store the configuration: %v %s", err, response.Body)
	}
	return &testFleet{f, t, deployment}
}

// printLogs prints the ends of the processes' logs.
func printLogs(t *testing.T, directory string) {
	const printed = 4000
	logs, _ := filepath.Glob(filepath.Join(directory, "*.log"))
	for _, path := range logs {
		data, _ := os.ReadFile(path)
		t.Logf("%s:\n%s", filepath.Base(path), data[max(0, len(data)-printed):])
	}
}

// must fails the test on an error.
func (f *testFleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// newJob creates a job of the deployment's traffic with the given index.
func (f *testFleet) newJob(traffic int, id string) state.JobSpec {
	return f.deployment.Traffic[traffic].NewJob(f.deployment.Service, id)
}

// submit submits a job, with retries until it is accepted.
func (f *testFleet) submit(spec state.JobSpec) {
	f.t.Helper()
	body, err := json.Marshal(spec)
	f.must(err)
	accepted := fleet.Poll(eventTimeout, func() bool {
		response, err := f.Client.Call("POST", "/v1/jobs", body, nil, callTimeout)
		return err == nil && response.Status == http.StatusOK
	})
	if !accepted {
		f.t.Fatalf("job %s was not accepted", spec.ID)
	}
}

// waitDone waits until a job is done.
func (f *testFleet) waitDone(id string) {
	f.t.Helper()
	var view gateway.JobView
	done := fleet.Poll(eventTimeout, func() bool {
		response, err := f.Client.Call("GET", "/v1/jobs/"+id+"?wait=2s", nil, nil, callTimeout)
		if err == nil && response.Status == http.StatusNotFound {
			f.t.Fatalf("job %s was accepted but is reported as unknown", id)
		}
		return err == nil && response.Status == http.StatusOK && response.Decode(&view) == nil &&
			view.State == state.Done
	})
	if !done {
		f.t.Fatalf("job %s did not finish: %+v", id, view)
	}
}

// call sends an operator's request, with retries until there is a reply other than 503.
func (f *testFleet) call(method, path string, body []byte) client.Response {
	f.t.Helper()
	var response client.Response
	replied := fleet.Poll(eventTimeout, func() bool {
		var err error
		response, err = f.Client.Call(method, path, body, nil, callTimeout)
		return err == nil && response.Status != http.StatusServiceUnavailable
	})
	if !replied {
		f.t.Fatalf("%s %s: %d %s", method, path, response.Status, response.Body)
	}
	return response
}

// mustCall sends an operator's request and fails the test unless it succeeds.
func (f *testFleet) mustCall(method, path string, body []byte) {
	f.t.Helper()
	if response := f.call(method, path, body); response.Status != http.StatusOK {
		f.t.Fatalf("%s %s: %d %s", method, path, response.Status, response.Body)
	}
}

// processesOf returns the processes of a role.
func (f *testFleet) processesOf(role string) []*fleet.Process {
	f.t.Helper()
	var processes []*fleet.Process
	for _, name := range f.ProcessNames() {
		p, err := f.Process(name)
		f.must(err)
		if p.Role == role {
			processes = append(processes, p)
		}
	}
	return processes
}

// collectRecords collects the workers' own records of their runs, which are independent of the
// replicated state.
func (f *testFleet) collectRecords() (runs []fakeworker.Run, workers []fakeworker.Config) {
	f.t.Helper()
	capacity := state.Resources{Slots: deploy.SlotsPerWorker, Cores: f.deployment.CoresPerWorker}
	for _, p := range f.processesOf(fleet.RoleWorker) {
		workers = append(workers, fakeworker.Config{
			ID: p.Name, Zone: p.Zone, Service: f.deployment.Service, Capacity: capacity,
		})
		response, err := f.Client.CallAddress(p.HTTPAddress, "GET", "/runs", nil, nil, 5*time.Second)
		var own []fakeworker.Run
		if err != nil || response.Decode(&own) != nil {
			f.t.Fatalf("runs of %s: %v", p.Name, err)
		}
		runs = append(runs, own...)
	}
	return runs, workers
}

// checkRuns checks the workers' records with the oracle. Every task of the jobs must have
// succeeded exactly once.
func (f *testFleet) checkRuns(jobs []state.JobSpec) {
	f.t.Helper()
	runs, workers := f.collectRecords()
	records := sim.Records{Runs: runs, Workers: workers}
	for _, spec := range jobs {
		records.Jobs = append(records.Jobs, sim.JobRecord{Spec: spec, State: state.Done})
	}
	violations, _ := sim.CheckRecords(records)
	for _, violation := range violations {
		f.t.Errorf("%s: %s", violation.Check, violation.Reason)
	}
	succeeded := map[string]int{}
	for _, r := range runs {
		if r.Outcome == fakeworker.OutcomeSucceeded {
			succeeded[r.Job+"/"+r.Task]++
		}
	}
	for _, job := range jobs {
		for _, task := range job.Tasks {
			if n := succeeded[job.ID+"/"+task.ID]; n != 1 {
				f.t.Errorf("task %s/%s succeeded %d times", job.ID, task.ID, n)
			}
		}
	}
}
