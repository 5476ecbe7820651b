package scale

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sorrelloom/core/agent"
	"sorrelloom/core/ledger"
	"sorrelloom/core/machine"
	"sorrelloom/core/relay"
	"sorrelloom/daemon/host"
	"sorrelloom/daemon/pool"
	"sorrelloom/daemon/run"
)

// Env is one run. Starts are tasks a second, in jobs of Width tasks that run for
// RunFor; a slot is a thousandth of a core.
type Env struct {
	Cores   int
	Workers int
	Doors   int
	Starts  float64
	Width   int
	Slots   int
	RunFor  time.Duration
	For     time.Duration
	Folder  string
	Profile string
	Port    int
}

const planBody = `{"services":{"s":{"anyLabel":true,"classes":{
 "q":{"priority":1000,"share":33,"quick":true,"silence":"restart"},"c":{"priority":990,"share":33,"silence":"restart"},"d":{"priority":980,"share":33,"silence":"restart"}}}},
 "policies":{"borrow":"true"},"limits":{"endsAtCutoff":true,"keep":"2m"}}`

// Cost is what one process took.
type Cost struct {
	Name              string
	Seconds           float64
	PeakMB            float64
	ReadMB, WrittenMB float64
}

// Report is what a run came to.
type Report struct {
	Jobs, Starts, Refused int64
	P50, P99              time.Duration
	Costs                 []Cost
}

type hollow struct {
	env     Env
	ctx     context.Context
	starts  atomic.Int64
	refused atomic.Int64
	jobs    atomic.Int64
	mu      sync.Mutex
	waits   map[string]time.Time
	took    []time.Duration
}

func site(i int) string { return fmt.Sprintf("z%d", i%4) }

// Run starts the core processes and the hollow ones, plays the load and ends all
// that it started.
func Run(env Env) (Report, error) {
	self, err := os.Executable()
	if err != nil {
		return Report{}, err
	}
	var addresses []string
	for i := range env.Cores {
		addresses = append(addresses, fmt.Sprintf("127.0.1.%d:%d", i+1, env.Port))
	}
	var cores []*exec.Cmd
	defer func() {
		for _, c := range cores {
			c.Process.Signal(syscall.SIGTERM)
		}
		for _, c := range cores {
			c.Wait()
		}
	}()
	for i, at := range addresses {
		args := []string{"-core", at, "-site", site(i), "-data", filepath.Join(env.Folder, fmt.Sprintf("core-%d", i)), "-founders", strings.Join(addresses[:3], ",")}
		if env.Profile != "" {
			args = append(args, "-profile", fmt.Sprintf("%s.%d", env.Profile, i))
		}
		c := exec.Command(self, args...)
		log, err := os.Create(filepath.Join(env.Folder, fmt.Sprintf("core-%d.log", i)))
		if err != nil {
			return Report{}, err
		}
		c.Stdout, c.Stderr = log, log
		c.Env = append(os.Environ(), "GOMAXPROCS=1")
		if err := c.Start(); err != nil {
			return Report{}, err
		}
		cores = append(cores, c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h := &hollow{env: env, ctx: ctx, waits: map[string]time.Time{}}
	var doors []*host.Shard
	for i := range env.Doors {
		at := fmt.Sprintf("127.0.2.%d:%d", i+1, env.Port)
		p := host.New(at, at, nil, nil)
		doors = append(doors, p.Add(relay.New(relay.Env{Address: at, Keepers: addresses, First: run.Chance()})))
		if err := p.Run(); err != nil {
			return Report{}, err
		}
		defer p.Close()
	}
	for until := time.Now().Add(20 * time.Second); ; {
		a := h.carry(doors[0], ledger.Command{Kind: ledger.KindPlan, Plan: ledger.PlanChange{Forced: true, Body: []byte(planBody)}})
		if a.Code.Good() {
			break
		}
		if time.Now().After(until) {
			return Report{}, fmt.Errorf("no keeper serves: %s", a.Why)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for i := range env.Workers {
		at := fmt.Sprintf("127.0.%d.%d:%d", 3+i/200, 1+i%200, env.Port)
		p := host.New(at, at, nil, nil)
		shard := p.Add(agent.New(agent.Env{Address: at, Site: site(i), Keepers: addresses, First: run.Chance()}))
		if err := p.Run(); err != nil {
			return Report{}, err
		}
		defer p.Close()
		w := &worker{h: h, name: fmt.Sprintf("w%03d", i), at: at, site: site(i), rack: fmt.Sprintf("r%d", i/9), shard: shard, running: map[ledger.Attempt]time.Time{}}
		pool.Go(w.play)
	}
	time.Sleep(2 * time.Second)
	before := h.costs(cores)
	h.load(doors)
	report := Report{Jobs: h.jobs.Load(), Starts: h.starts.Load(), Refused: h.refused.Load(), Costs: h.costs(cores)}
	for i := range report.Costs {
		report.Costs[i].Seconds -= before[i].Seconds
		report.Costs[i].ReadMB -= before[i].ReadMB
		report.Costs[i].WrittenMB -= before[i].WrittenMB
	}
	h.mu.Lock()
	sort.Slice(h.took, func(i, j int) bool { return h.took[i] < h.took[j] })
	if n := len(h.took); n > 0 {
		report.P50, report.P99 = h.took[n/2], h.took[n*99/100]
	}
	h.mu.Unlock()
	return report, nil
}

func (h *hollow) carry(shard *host.Shard, cmd ledger.Command) ledger.Answer {
	ctx, cancel := context.WithTimeout(h.ctx, 3*time.Second)
	defer cancel()
	v, _ := shard.Ask(ctx, machine.Ask{Kind: relay.AskCommand, Value: cmd, Wait: 2 * time.Second})
	a, _ := v.(ledger.Answer)
	return a
}

// load hands jobs in at an even pace until the time is over.
func (h *hollow) load(doors []*host.Shard) {
	each := time.Duration(float64(time.Second) * float64(h.env.Width) / h.env.Starts)
	begin, n := time.Now(), 0
	for next := begin; time.Since(begin) < h.env.For; next = next.Add(each) {
		time.Sleep(time.Until(next))
		n++
		id, door, class := fmt.Sprintf("j%06d", n), doors[n%len(doors)], []string{"c", "d", "q", "q", "q", "q"}[n%6]
		pool.Go(func() {
			h.mu.Lock()
			h.waits[id] = time.Now()
			h.mu.Unlock()
			spec := ledger.JobSpec{ID: id, Service: "s", Class: class, Payload: []byte(`"0123456789012345678901234567890123456789"`), Steps: []ledger.StepSpec{{Count: h.env.Width, Room: ledger.Room{Slots: h.env.Slots, MemoryMB: 100}}}}
			h.jobs.Add(1)
			if a := h.carry(door, ledger.Command{Kind: ledger.KindAccept, Brief: true, Accept: spec}); !a.Code.Good() {
				h.refused.Add(1)
			}
		})
	}
}

func (h *hollow) began(job string) {
	h.starts.Add(1)
	h.mu.Lock()
	if at, ok := h.waits[job]; ok {
		h.took = append(h.took, time.Since(at))
		delete(h.waits, job)
	}
	h.mu.Unlock()
}

// costs reads what the kernel counted for the core processes and for this one.
func (h *hollow) costs(cores []*exec.Cmd) []Cost {
	var out []Cost
	for i, c := range cores {
		out = append(out, cost(fmt.Sprintf("core-%d", i), c.Process.Pid))
	}
	return append(out, cost("hollow", os.Getpid()))
}

func cost(name string, pid int) Cost {
	out := Cost{Name: name}
	if data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		fields := strings.Fields(string(data[strings.LastIndex(string(data), ")")+1:]))
		user, _ := strconv.ParseFloat(fields[11], 64)
		system, _ := strconv.ParseFloat(fields[12], 64)
		out.Seconds = (user + system) / 100
	}
	kb := func(file, key string) float64 {
		data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
		for _, line := range strings.Split(string(data), "\n") {
			if rest, ok := strings.CutPrefix(line, key+":"); ok {
				v, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
				return v
			}
		}
		return 0
	}
	out.PeakMB = kb("status", "VmHWM") / 1024
	out.ReadMB, out.WrittenMB = kb("io", "rchar")/1e6, kb("io", "wchar")/1e6
	return out
}

// worker is a hollow worker: what it runs is only a time.
type worker struct {
	h        *hollow
	name, at string
	site     string
	rack     string
	shard    *host.Shard
	number   uint64
	ends     uint64
	running  map[ledger.Attempt]time.Time
	ended    []agent.Ended
}

func (w *worker) play() {
	for w.h.ctx.Err() == nil {
		now := time.Now()
		for a, at := range w.running {
			if now.After(at) {
				delete(w.running, a)
				w.end(a, agent.Good)
			}
		}
		w.number++
		call := agent.Call{Worker: w.name, Number: w.number, Address: w.at, Service: "s", Site: w.site, Rack: w.rack, Labels: []string{"a", w.rack},
			Free: ledger.Room{Slots: 64000, MemoryMB: 262144}, Ended: w.ended}
		for a := range w.running {
			call.Running = append(call.Running, agent.Run{Attempt: a})
		}
		v, ok := w.shard.Ask(w.h.ctx, machine.Ask{Kind: agent.AskCall, Value: call})
		told, _ := v.(agent.Told)
		if !ok {
			return
		}
		for len(w.ended) > 0 && w.ended[0].Number <= told.Seen {
			w.ended = w.ended[1:]
		}
		for _, b := range told.Begins {
			if _, runs := w.running[b.Attempt]; !runs {
				w.running[b.Attempt] = time.Now().Add(w.h.env.RunFor)
				w.h.began(b.Job)
			}
		}
		for _, s := range told.Stops {
			if _, runs := w.running[s]; runs {
				delete(w.running, s)
				w.end(s, agent.Stopped)
			}
		}
		time.Sleep(max(told.Again, 20*time.Millisecond))
	}
}

func (w *worker) end(a ledger.Attempt, how string) {
	w.ends++
	w.ended = append(w.ended, agent.Ended{Number: w.ends, Run: agent.Run{Attempt: a}, How: how})
}
