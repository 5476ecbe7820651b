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
	"testing"
	"time"

	"sorrelloom/core/front"
	"sorrelloom/tool/deploy"
	"sorrelloom/tool/fleet"
	"sorrelloom/tool/worker"
)

const patience = 60 * time.Second

var bin string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "sorrelloom-e2e-")
	if err != nil {
		panic(err)
	}
	bin = folder
	build := exec.Command("go", "build", "-o", folder+string(filepath.Separator), "sorrelloom/daemon/cmd/keeper",
		"sorrelloom/daemon/cmd/scheduler", "sorrelloom/daemon/cmd/front", "sorrelloom/tool/cmd/standin")
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
	f, err := fleet.Start(fleet.Env{Bin: bin, Folder: folder, Base: freeBase(t, 80), Deployment: d, Keepers: keepers, Schedulers: schedulers, Fronts: fronts, Workers: workers})
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
	if !fleet.Until(patience, f.Ready) {
		t.Fatal("the fleet did not become ready")
	}
	r, err := f.Client.Call("PUT", "/v1/plan?base=0", d.Plan, nil, 10*time.Second)
	if err != nil || r.Status != 200 {
		t.Fatalf("plan: %v %s", err, r.Body)
	}
	return f
}

func submit(t *testing.T, f *fleet.Fleet, d deploy.Deployment, kind int, id string) {
	t.Helper()
	body, err := json.Marshal(d.Traffic[kind].Job(d.Service, id))
	if err != nil {
		t.Fatal(err)
	}
	ok := fleet.Until(patience, func() bool {
		r, err := f.Client.Call("POST", "/v1/jobs", body, nil, 10*time.Second)
		return err == nil && r.Status == 200
	})
	if !ok {
		t.Fatalf("job %s was not accepted", id)
	}
}

func finish(t *testing.T, f *fleet.Fleet, id string) {
	t.Helper()
	var view front.JobView
	ok := fleet.Until(patience, func() bool {
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

// runsOf collects the workers' own records.
func runsOf(t *testing.T, f *fleet.Fleet) map[string]int {
	t.Helper()
	good := map[string]int{}
	for _, name := range f.Names() {
		p, err := f.Member(name)
		if err != nil || p.Role != "standin" {
			continue
		}
		r, err := f.Client.At(p.HTTP, "GET", "/runs", nil, nil, 5*time.Second)
		var runs []worker.Run
		if err != nil || r.Decode(&runs) != nil {
			t.Fatalf("runs of %s: %v", name, err)
		}
		for _, run := range runs {
			if run.Outcome == "good" {
				good[run.Job+"/"+run.Task]++
			}
		}
	}
	return good
}

func TestFleetServesAndOutlivesItsPrimary(t *testing.T) {
	f := start(t, "reseller", 3, 3, 2, 4)
	d, _ := deploy.Get("reseller")
	var ids []string
	for i := range 12 {
		id := fmt.Sprintf("before-%d", i)
		submit(t, f, d, i%3, id)
		ids = append(ids, id)
	}
	primary := f.Primary()
	if primary == "" {
		t.Fatal("no keeper says that it serves")
	}
	if err := f.Kill(primary); err != nil {
		t.Fatal(err)
	}
	for i := range 6 {
		id := fmt.Sprintf("after-%d", i)
		submit(t, f, d, i%2, id)
		ids = append(ids, id)
	}
	for _, id := range ids {
		finish(t, f, id)
	}
	if next := f.Primary(); next == "" || next == primary {
		t.Fatalf("primary after the kill: %q, before: %q", next, primary)
	}
	for task, count := range runsOf(t, f) {
		if count != 1 {
			t.Errorf("task %s ended well %d times", task, count)
		}
	}
}
