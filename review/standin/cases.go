package main

import (
	"fmt"
	"syscall"
	"time"
)

var workerRoom = room{CPU: 64000, MemoryMB: 131072}

func sameKind(int) string { return "a" }

// playLateBeats stops and starts the agent beside a worker, as in a roll-out, and has two of the
// worker's beats, sent some seconds before, arrive after that.
func playLateBeats(p *play) {
	p.begin(11, workerRoom, sameKind, nil)
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
			}
			p.submit(fmt.Sprintf("check %d", n), "/checks/", "", 3000, step{Count: 6, CPU: 12000, MemoryMB: 4000, GuessMs: 3000})
			time.Sleep(400 * time.Millisecond)
		}
	}()
	time.Sleep(4 * time.Second)
	victims := p.workers[:2]
	for _, w := range victims {
		if p.trouble {
			p.lateBeatsAround(w)
		}
		time.Sleep(2 * inTouch)
	}
	close(stop)
	<-stopped
	time.Sleep(5 * time.Second)
	p.checkTwice()
}

func (p *play) lateBeatsAround(w *worker) {
	if p.does("late") {
		p.mu.Lock()
		w.lateBeats = 2
		p.mu.Unlock()
		// Both beats are held up, and the next ones are answered as usual.
		p.waitFor(5*time.Second, "two beats are late and a task was started since", func() bool {
			return len(w.lateBodies) == 2 && !w.beating && w.lastStartSeen > w.lateBodies[1].sentAt+answerTimeout
		})
		time.Sleep(300 * time.Millisecond)
	}
	if p.does("restart") {
		p.fleet.restart(p.fleet.find("agent", w.machine.name))
		time.Sleep(200 * time.Millisecond)
	}
	if p.does("late") {
		w.deliverLate()
	}
}

// playWideGang loses a worker for good while a gang needs one member on each of all workers.
func playWideGang(p *play) {
	p.begin(11, workerRoom, sameKind, nil)
	p.submit("standing", "/nightly/", "", 500, step{Count: 3, CPU: 60000, MemoryMB: 8000, GuessMs: 500, LongRunning: true})
	time.Sleep(2 * time.Second)
	if p.trouble {
		p.workers[10].crash()
	}
	time.Sleep(4 * time.Second)
	p.submit("gang", "/nightly/", "", 1500, step{Count: 8, CPU: 60000, MemoryMB: 8000, GuessMs: 1500, AllTogether: true})
	time.Sleep(5 * time.Second)
	for n := range 10 {
		p.submit(fmt.Sprintf("check %d", n), "/nightly/", "", 1000, step{Count: 2, CPU: 3000, MemoryMB: 4000, GuessMs: 1000})
		time.Sleep(time.Second)
	}
	p.checkIdle(nil)
}

// playTenantLimit lowers the limit of a tenant whose gang then waits beside its lasting tasks.
func playTenantLimit(p *play) {
	const key = "ex5wa5xwyhks8nbkxxmi"
	tenant := func(cpu int) []map[string]any {
		return []map[string]any{{
			"name": "agency", "apiKeys": []string{key}, "priorityLevel": 1, "share": 24,
			"atMost": map[string]int{"cpuCores": cpu, "memMb": 0, "gpus": 0},
		}}
	}
	p.begin(11, workerRoom, sameKind, tenant(120000))
	limit := room{CPU: 120000}
	p.submit("standing", "/nightly/", key, 500, step{Count: 2, CPU: 10000, MemoryMB: 4000, GuessMs: 500, LongRunning: true})
	time.Sleep(2 * time.Second)
	if p.trouble {
		p.rec.log("FAULT the operator lowers the tenant's limit from 120 to 100 cores")
		p.configure(tenant(100000))
		limit.CPU = 100000
		time.Sleep(3 * time.Second)
	}
	p.submit("gang", "/nightly/", key, 1500, step{Count: 9, CPU: 10000, MemoryMB: 4000, GuessMs: 1500, AllTogether: true})
	time.Sleep(5 * time.Second)
	for n := range 6 {
		p.submit(fmt.Sprintf("check %d", n), "/checks/", key, 1000, step{Count: 2, CPU: 3000, MemoryMB: 4000, GuessMs: 1000})
		time.Sleep(2 * time.Second)
	}
	p.checkIdle(map[string]room{key: limit})
}

// playOnlyWorker has the one worker with a label fail all that it starts for some seconds.
func playOnlyWorker(p *play) {
	const only = 11
	p.begin(12, workerRoom, func(i int) string {
		if i == only {
			return "b"
		}
		return "a"
	}, nil)
	if p.trouble {
		p.mu.Lock()
		p.workers[only].grey = true
		p.mu.Unlock()
		p.rec.log("FAULT %s fails all that it starts", p.workers[only].id)
	}
	p.submit("special checks", "/nightly/", "", 1500,
		step{Count: 12, CPU: 3000, MemoryMB: 4000, GuessMs: 1500, NeedsLabels: "b"})
	for n := range 10 {
		p.submit(fmt.Sprintf("check %d", n), "/checks/", "", 400, step{Count: 1, CPU: 3000, MemoryMB: 4000, GuessMs: 400})
		time.Sleep(500 * time.Millisecond)
	}
	if p.trouble {
		p.mu.Lock()
		p.workers[only].grey = false
		p.mu.Unlock()
		p.rec.log("FAULT %s is well again", p.workers[only].id)
	}
	p.checkIdle(nil)
}

// playRenamedRoute has the operator put a route of another name in the place of one whose jobs
// run, and then loses a side machine for good, with the worker that runs tasks of them.
func playRenamedRoute(p *play) {
	p.begin(11, workerRoom, sameKind, nil)
	j := p.submit("repricing", "/nightly/", "", 6000, step{Count: 4, CPU: 11000, MemoryMB: 8000, GuessMs: 6000})
	p.waitFor(5*time.Second, "all tasks run", func() bool { return len(p.runsOf(j)) == 4 })
	if p.trouble {
		if p.does("rename") {
			p.rec.log("FAULT the operator puts the route r-nightly-new in the place of r-nightly")
			p.renameNightly = true
			p.configure(nil)
		}
		time.Sleep(2500 * time.Millisecond)
		p.mu.Lock()
		lost := p.runsOf(j)[0].worker
		p.mu.Unlock()
		for _, w := range p.workers {
			if w.id == lost && p.does("loss") {
				p.fleet.end(p.fleet.find("agent", w.machine.name), syscall.SIGKILL)
				w.crash()
			}
		}
	}
	time.Sleep(4 * time.Second)
	p.submit("repricing after it", "/nightly/", "", 1000, step{Count: 4, CPU: 11000, MemoryMB: 8000, GuessMs: 1000})
	// A worker's hold ends and the primary's margin passes well before jobs are asked for.
	time.Sleep(6 * time.Second)
	p.checkIdle(nil)
}
