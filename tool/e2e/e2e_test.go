// One real fleet of processes on loopback: it is founded, takes a plan and
// jobs, loses its primary keeper by SIGKILL, and goes on. Every wait is for an
// event, bounded by a time far above what it takes.

package e2e

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/gateway"
	"sorrelloom/core/replica"
	"sorrelloom/core/state"
	"sorrelloom/core/status"
	"sorrelloom/daemon/audit"
	"sorrelloom/daemon/client"
	"sorrelloom/daemon/pool"
	"sorrelloom/tool/deploy"
	"sorrelloom/tool/fakeworker"
	"sorrelloom/tool/fleet"
	"sorrelloom/tool/sim"
)

const patience = 60 * time.Second

var bin string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "sorrelloom-e2e-")
	if err != nil {
		panic(err)
	}
	bin = folder
	build := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "sorrelloom/daemon/cmd/replica",
		"sorrelloom/daemon/cmd/scheduler", "sorrelloom/daemon/cmd/gateway", "sorrelloom/tool/cmd/fakeworker")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	status := m.Run()
	os.RemoveAll(folder)
	os.Exit(status)
}

// freeBase finds a run of ports that nobody listens on.
func freeBase(t *testing.T, count int) int {
	t.Helper()
	for base := 21000; base < 32000; base += 200 {
		free := true
		for i := 1; i <= count && free; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+i))
			if free = err == nil; free {
				l.Close()
			}
		}
		if free {
			return base
		}
	}
	t.Fatal("no free ports")
	return 0
}

func start(t *testing.T, name string, keepers, schedulers, fronts, workers int) *fleet.Fleet {
	t.Helper()
	d, err := deploy.Get(name)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	f, err := fleet.Start(fleet.Config{BinaryDir: bin, Directory: folder, BasePort: freeBase(t, 80), Deployment: d, Replicas: keepers, Schedulers: schedulers, Gateways: fronts, Workers: workers, Proxies: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.Close()
		if t.Failed() {
			logs, _ := filepath.Glob(filepath.Join(folder, "*.log"))
			for _, path := range logs {
				data, _ := os.ReadFile(path)
				t.Logf("%s:\n%s", filepath.Base(path), data[max(0, len(data)-4000):])
			}
		}
	})
	if !fleet.Poll(patience, f.Ready) {
		t.Fatal("the fleet did not become ready")
	}
	r, err := f.Client.Call("PUT", "/v1/plan?base=0", d.Config, nil, 10*time.Second)
	if err != nil || r.Status != 200 {
		t.Fatalf("plan: %v %s", err, r.Body)
	}
	return f
}

func submit(t *testing.T, f *fleet.Fleet, spec state.JobSpec) {
	t.Helper()
	body, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	ok := fleet.Poll(patience, func() bool {
		r, err := f.Client.Call("POST", "/v1/jobs", body, nil, 10*time.Second)
		return err == nil && r.Status == 200
	})
	if !ok {
		t.Fatalf("job %s was not accepted", spec.ID)
	}
}

func finish(t *testing.T, f *fleet.Fleet, id string) {
	t.Helper()
	var view gateway.JobView
	ok := fleet.Poll(patience, func() bool {
		r, err := f.Client.Call("GET", "/v1/jobs/"+id+"?wait=2s", nil, nil, 10*time.Second)
		if err == nil && r.Status == 404 {
			t.Fatalf("job %s was accepted and is called unknown", id)
		}
		return err == nil && r.Status == 200 && r.Decode(&view) == nil && view.State == "done"
	})
	if !ok {
		t.Fatalf("job %s did not finish: %+v", id, view)
	}
}

// records collects the workers' own records, which know nothing of the ledger.
func records(t *testing.T, f *fleet.Fleet, d deploy.Deployment) (runs []fakeworker.Run, workers []fakeworker.Env) {
	t.Helper()
	for _, name := range f.ProcessNames() {
		p, err := f.Process(name)
		if err != nil || p.Role != "standin" {
			continue
		}
		workers = append(workers, fakeworker.Env{ID: name, Site: p.Zone, Service: d.Service, Total: state.Resources{Slots: deploy.SlotsPerWorker, Cores: d.CoresPerWorker}})
		r, err := f.Client.CallAddress(p.HTTPAddress, "GET", "/runs", nil, nil, 5*time.Second)
		var own []fakeworker.Run
		if err != nil || r.Decode(&own) != nil {
			t.Fatalf("runs of %s: %v", name, err)
		}
		runs = append(runs, own...)
	}
	return runs, workers
}

// judge has the oracle judge them. Every task of the jobs must have ended well once.
func judge(t *testing.T, f *fleet.Fleet, d deploy.Deployment, jobs []state.JobSpec) {
	t.Helper()
	runs, workers := records(t, f, d)
	story := sim.Story{Runs: runs, Workers: workers}
	for _, spec := range jobs {
		story.Jobs = append(story.Jobs, sim.JobNote{Spec: spec, State: state.Done})
	}
	broken, _ := sim.JudgeStory(story)
	for _, b := range broken {
		t.Errorf("%s: %s", b.Check, b.Why)
	}
	good := map[string]int{}
	for _, r := range runs {
		if r.Outcome == "good" {
			good[r.Job+"/"+r.Task]++
		}
	}
	for _, job := range jobs {
		for _, task := range job.Tasks {
			if n := good[job.ID+"/"+task.ID]; n != 1 {
				t.Errorf("task %s/%s ended well %d times", job.ID, task.ID, n)
			}
		}
	}
}

func TestFleetServesAndOutlivesItsPrimary(t *testing.T) {
	f := start(t, "reseller", 3, 3, 2, 4)
	d, _ := deploy.Get("reseller")
	var jobs []state.JobSpec
	for i := range 12 {
		jobs = append(jobs, d.Traffic[i%3].NewJob(d.Service, fmt.Sprintf("before-%d", i)))
		submit(t, f, jobs[i])
	}
	large, err := f.Client.Call("POST", "/v1/jobs", make([]byte, 5<<20), nil, 10*time.Second)
	var out gateway.Outcome
	if err != nil || large.Status != 413 || large.Decode(&out) != nil || out.Code != status.TooLarge {
		t.Errorf("a body of 5 MiB: %v %d %s", err, large.Status, large.Body)
	}
	primary := f.Primary()
	if primary == "" {
		t.Fatal("no keeper says that it serves")
	}
	if err := f.Kill(primary); err != nil {
		t.Fatal(err)
	}
	for i := range 6 {
		jobs = append(jobs, d.Traffic[i%2].NewJob(d.Service, fmt.Sprintf("after-%d", i)))
		submit(t, f, jobs[12+i])
	}
	for _, job := range jobs {
		finish(t, f, job.ID)
	}
	if next := f.Primary(); next == "" || next == primary {
		t.Fatalf("primary after the kill: %q, before: %q", next, primary)
	}
	judge(t, f, d, jobs)
}

// TestFleetUnderFreezesCutsAndAnEmptyKeeper breaks one thing after the other
// while jobs come, and waits after each until a job handed in after it is done.
func TestFleetUnderFreezesCutsAndAnEmptyKeeper(t *testing.T) {
	f := start(t, "podcast", 3, 3, 3, 4)
	d, _ := deploy.Get("podcast")
	var jobs []state.JobSpec
	wave := func(name string) {
		t.Helper()
		var ids []string
		for i := range 6 {
			spec := d.Traffic[i%2].NewJob(d.Service, fmt.Sprintf("%s-%d", name, i))
			submit(t, f, spec)
			jobs, ids = append(jobs, spec), append(ids, spec.ID)
		}
		for _, id := range ids {
			finish(t, f, id)
		}
	}
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	changed := func(from string) func() bool {
		return func() bool { now := f.Primary(); return now != "" && now != from }
	}
	wave("quiet")

	first := f.Primary()
	must(f.Freeze(first))
	wave("primary-frozen")
	must(f.Resume(first))
	if !fleet.Poll(patience, changed(first)) {
		t.Fatalf("the frozen primary %s still leads", first)
	}
	wave("primary-woken")

	must(f.Freeze("scheduler-1"))
	must(f.Freeze("front-1"))
	wave("scheduler-and-front-frozen")
	must(f.Resume("scheduler-1"))
	must(f.Resume("front-1"))
	wave("both-woken")

	must(f.Kill("scheduler-2"))
	must(f.Kill("front-2"))
	wave("scheduler-and-front-killed")
	must(f.StartProcess("scheduler-2"))
	must(f.StartProcess("front-2"))

	second := f.Primary()
	for _, other := range f.ProcessNames() {
		if p, err := f.Process(other); err == nil && p.Role == "keeper" && other != second {
			must(f.SetPartition(other, second, true))
			must(f.SetPartition(second, other, true))
		}
	}
	wave("primary-cut")
	for _, other := range f.ProcessNames() {
		if p, err := f.Process(other); err == nil && p.Role == "keeper" && other != second {
			must(f.SetPartition(other, second, false))
			must(f.SetPartition(second, other, false))
		}
	}
	wave("primary-mended")

	third := f.Primary()
	must(f.Kill(third))
	must(f.AddReplica("keeper-new", "a", f.SchedulerSeeds()))
	seated := fleet.Poll(patience, func() bool {
		p, err := f.Process("keeper-new")
		if err != nil {
			return false
		}
		var status replica.Status
		r, err := f.Client.CallAddress(p.HTTPAddress, "GET", "/status", nil, nil, time.Second)
		if err != nil || r.Decode(&status) != nil {
			return false
		}
		for _, w := range status.View.Voters {
			if w.ID == status.ID {
				return true
			}
		}
		return false
	})
	if !seated {
		t.Fatal("the empty keeper at a new address was not taken in")
	}
	wave("keeper-replaced")
	last := f.Primary()
	must(f.Kill(last))
	wave("killed-again")
	judge(t, f, d, jobs)

	race(t, f)
	f.Close()
	var logs []string
	for _, name := range f.ProcessNames() {
		folder := filepath.Join(f.Directory(), name, "audit")
		if _, err := os.Stat(filepath.Join(folder, "checkpoint")); err == nil {
			logs = append(logs, folder)
		}
	}
	report, err := audit.Verify(logs, nil)
	if err != nil || len(report.Findings) > 0 || report.EntryCount < 4*len(jobs) {
		t.Errorf("audit of %d keepers: %+v %v", len(logs), report, err)
	}
}

// race lets two operators change the plan on the same sequence at once.
func race(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	r, err := f.Client.Call("GET", "/v1/plan", nil, nil, 10*time.Second)
	var now config.Config
	if err != nil || r.Decode(&now) != nil {
		t.Fatal(err, string(r.Body))
	}
	answers := make(chan client.Response, 2)
	for i := range 2 {
		pool.Go(func() {
			body := fmt.Appendf(nil, `{"limits":{"maxLosses":%d}}`, 30+i)
			r, err := f.Client.Call("PATCH", fmt.Sprintf("/v1/plan?base=%d", now.Version), body, map[string]string{"Idempotency-Key": fmt.Sprint("operator", i)}, 10*time.Second)
			if err != nil {
				r.Status = -1
			}
			answers <- r
		})
	}
	a, b := <-answers, <-answers
	if a.Status != 200 {
		a, b = b, a
	}
	var lost gateway.Outcome
	if a.Status != 200 || b.Status != 409 || b.Decode(&lost) != nil || lost.Version != now.Version+1 {
		t.Errorf("one wins, the other is told the sequence: %d %s, %d %s", a.Status, a.Body, b.Status, b.Body)
	}
}

func clock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// TestFleetKeepsItsWordToOperators drains, withdraws, empties, cancels, starts a
// gang, spends a task and changes the plan on real processes, while short jobs
// come all the time; the workers' records and the times of the answers judge.
func TestFleetKeepsItsWordToOperators(t *testing.T) {
	f := start(t, "reseller", 3, 3, 2, 5)
	d, _ := deploy.Get("reseller")
	story := sim.Story{}
	call := func(method, path string, body []byte) client.Response {
		t.Helper()
		var r client.Response
		ok := fleet.Poll(patience, func() bool {
			var err error
			r, err = f.Client.Call(method, path, body, nil, 10*time.Second)
			return err == nil && r.Status != 503
		})
		if !ok {
			t.Fatalf("%s %s: %d %s", method, path, r.Status, r.Body)
		}
		return r
	}
	must := func(method, path string, body []byte) {
		t.Helper()
		if r := call(method, path, body); r.Status != 200 {
			t.Fatalf("%s %s: %d %s", method, path, r.Status, r.Body)
		}
	}
	hand := func(spec state.JobSpec) int {
		submit(t, f, spec)
		story.Jobs = append(story.Jobs, sim.JobNote{Spec: spec})
		return len(story.Jobs) - 1
	}
	see := func(i int) string {
		var view gateway.JobView
		r := call("GET", "/v1/jobs/"+story.Jobs[i].Spec.ID, nil)
		if r.Status != 200 || r.Decode(&view) != nil {
			t.Fatalf("status of %s: %d %s", story.Jobs[i].Spec.ID, r.Status, r.Body)
		}
		if story.Jobs[i].State = view.State; view.State == state.Done || view.State == state.Failed || view.State == state.Cancelled {
			story.Jobs[i].Over = clock()
		}
		return view.State
	}
	until := func(i int, states ...string) {
		t.Helper()
		if !fleet.Poll(patience, func() bool { return slices.Contains(states, see(i)) }) {
			t.Fatalf("%s is %s, not %v", story.Jobs[i].Spec.ID, story.Jobs[i].State, states)
		}
	}
	many := deploy.Traffic{Class: "check", StepWidths: []int{80}, RunMs: 1500, Cores: 1}
	cancelled := hand(many.NewJob(d.Service, "cancelled"))
	until(cancelled, state.Running)
	must("DELETE", "/v1/jobs/cancelled", nil)
	story.Jobs[cancelled].Cancelled = clock()

	gang := deploy.Traffic{Class: "check", StepWidths: []int{5}, RunMs: 300, Cores: 1}.NewJob(d.Service, "gang")
	for i := range gang.Tasks {
		gang.Tasks[i].Gang = "g"
	}
	whole := hand(gang)
	spent := deploy.Traffic{Class: "lookup", StepWidths: []int{1}, RunMs: 20, Cores: 1}.NewJob(d.Service, "spent")
	spent.Tasks[0].Payload, spent.Tasks[0].MaxFailures = []byte(`{"runMs":20,"fail":true}`), 2
	failed := hand(spent)
	until(failed, state.Failed)
	until(whole, state.Done)

	if r := call("POST", "/v1/sites/nowhere/empty", nil); r.Status != 404 {
		t.Errorf("a site that does not exist: %d %s", r.Status, r.Body)
	}
	must("POST", "/v1/sites/b/empty", nil)
	story.Emptied = append(story.Emptied, sim.SiteNote{Site: "b", From: clock()})
	must("POST", "/v1/workers/standin-1/drain", nil)
	story.Left = append(story.Left, sim.WorkerNote{Worker: "standin-1", From: clock(), To: 1 << 62})
	leaving, err := f.Process("standin-3")
	if err != nil {
		t.Fatal(err)
	}
	if r, err := f.Client.CallAddress(leaving.HTTPAddress, "POST", "/faults", []byte(`{"leave":true}`), nil, 5*time.Second); err != nil || r.Status != 200 {
		t.Fatalf("leave: %v %s", err, r.Body)
	}
	story.Left = append(story.Left, sim.WorkerNote{Worker: "standin-3", From: clock(), To: 1 << 62})
	// Short jobs come until the longest of the bounds is well over.
	last := 0
	for i := 0; clock() < story.Emptied[0].From+8*time.Second; i++ {
		last = hand(d.Traffic[0].NewJob(d.Service, fmt.Sprintf("short-%d", i)))
		until(last, state.Done)
	}
	must("POST", "/v1/sites/b/refill", nil)
	story.Emptied[0].To = clock()
	must("PATCH", "/v1/plan?force=true", []byte(`{"limits":{"maxLosses":21}}`))
	for _, name := range f.ProcessNames() {
		p, err := f.Process(name)
		if err != nil || p.Role == "standin" {
			continue
		}
		seen := fleet.Poll(patience, func() bool {
			var status struct {
				Plan uint64 `json:"planSequence"`
			}
			r, err := f.Client.CallAddress(p.HTTPAddress, "GET", "/status", nil, nil, time.Second)
			return err == nil && r.Decode(&status) == nil && status.Plan >= 2
		})
		if !seen {
			t.Errorf("%s does not show the new plan", name)
		}
	}
	until(cancelled, state.Cancelled)
	story.Runs, story.Workers = records(t, f, d)
	broken, judged := sim.JudgeStory(story)
	for _, b := range broken {
		t.Errorf("%s: %s", b.Check, b.Why)
	}
	for _, check := range []string{"start-while-draining", "start-in-emptied-site", "start-after-cancel", "gang-alone", "defects-spent", "finished-with-open-task", "twice-at-once", "over-room"} {
		if judged[check] == 0 {
			t.Errorf("%s judged nothing", check)
		}
	}
	tries := 0
	for _, r := range story.Runs {
		if r.Job == "spent" {
			tries++
		}
	}
	if tries != 2 || last == 0 {
		t.Errorf("a task with two allowed defects ran %d times; %d jobs", tries, len(story.Jobs))
	}
	// The same records with one start too many must be found.
	spoiled := story
	spoiled.Runs = append(slices.Clone(story.Runs), fakeworker.Run{Attempt: state.Attempt{Job: "cancelled", Task: "s1-80", Number: 9}, Worker: "standin-2", Class: "check", Service: d.Service, From: story.Emptied[0].From + 6*time.Second, To: story.Emptied[0].From + 7*time.Second, Outcome: "stopped"})
	if found, _ := sim.JudgeStory(spoiled); len(found) < 2 {
		t.Errorf("a start in an emptied site of a cancelled job is not found: %v", found)
	}
}
