package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// answerTimeout is how long a worker waits for the answer to a beat.
const answerTimeout = time.Second

// room is what a worker has, or a task needs.
type room struct {
	CPU      int `json:"cpuCores"`
	MemoryMB int `json:"memMb"`
	GPUs     int `json:"gpus"`
}

func (r room) add(o room) room { return room{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.GPUs + o.GPUs} }
func (r room) sub(o room) room { return room{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.GPUs - o.GPUs} }
func (r room) times(n int) room {
	return room{r.CPU * n, r.MemoryMB * n, r.GPUs * n}
}
func (r room) covers(o room) bool {
	return r.CPU >= o.CPU && r.MemoryMB >= o.MemoryMB && r.GPUs >= o.GPUs
}

// run is one run of a task on a worker.
type run struct {
	task      string
	number    int
	worker    string
	startedAt time.Duration
	endedAt   time.Duration
	how       string
	// worksFrom is when it began to work: a gang's member once all are there.
	worksFrom time.Duration
}

func (r *run) over() bool { return r.how != "" }

type end struct {
	number uint64
	run    *run
}

// worker is a stand-in of a worker, one life of it. Its lock is that of the play.
type worker struct {
	play          *play
	machine       *machine
	agent         string
	id            string
	tags          []string
	capacity      room
	client        *http.Client
	mu            *sync.Mutex
	runs          []*run
	ends          []end
	lastEnd       uint64
	highest       map[string]int // highest run of each task that was stopped or ended here
	fence         uint64
	holdUntil     time.Duration
	callCount     uint64
	nextBeat      time.Duration
	beating       bool
	dead          bool
	grey          bool // fails all that it starts
	lateBeats     int  // so many of the next beats are held up
	lateBodies    []lateBeat
	lastStartSeen time.Duration
}

// lateBeat is a beat that is held up on its way.
type lateBeat struct {
	count  uint64
	sentAt time.Duration
	body   []byte
}

func (w *worker) now() time.Duration { return w.play.rec.now() }

// loop does what is due until the play ends.
func (w *worker) loop(quit chan struct{}) {
	ticker := time.NewTicker(4 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-quit:
			return
		case <-ticker.C:
			w.mu.Lock()
			if !w.dead {
				w.step()
			}
			w.mu.Unlock()
		}
	}
}

func (w *worker) step() {
	now := w.now()
	for _, r := range slices.Clone(w.runs) {
		w.advance(now, r)
	}
	if w.beating || now < w.nextBeat {
		return
	}
	w.beat(now)
}

// advance ends a run whose time has come.
func (w *worker) advance(now time.Duration, r *run) {
	if now >= w.holdUntil {
		w.end(now, r, "lapsed")
		return
	}
	job, step := w.play.stepOf(r.task)
	if step.AllTogether {
		switch how := w.play.gangEnd(now, job, r); how {
		case "":
			if r.worksFrom == 0 {
				return
			}
		default:
			w.end(now, r, how)
			return
		}
	}
	if now < r.worksFrom+time.Duration(job.workMs)*time.Millisecond {
		return
	}
	switch {
	case w.grey:
		w.end(now, r, "failed")
	case step.LongRunning:
	default:
		w.end(now, r, "done")
	}
}

// end notes the end of a run; the next beat follows 50 ms later.
func (w *worker) end(now time.Duration, r *run, how string) {
	r.endedAt, r.how = now, how
	w.runs = slices.DeleteFunc(w.runs, func(other *run) bool { return other == r })
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r})
	w.nextBeat = min(w.nextBeat, now+50*time.Millisecond)
	w.play.rec.log("%s: run %s#%d ends %s", w.id, r.task, r.number, how)
}

// beat sends a beat, and takes its answer if that comes within a second.
func (w *worker) beat(now time.Duration) {
	w.callCount++
	body := w.body(now)
	w.beating, w.nextBeat = true, now+beatEvery
	count := w.callCount
	if w.lateBeats > 0 {
		w.lateBeats--
		w.lateBodies = append(w.lateBodies, lateBeat{count, now, body})
		w.play.rec.log("FAULT %s: beat %d is held up on its way, lists %s", w.id, count, w.listed())
		go func() {
			time.Sleep(answerTimeout)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.beating, w.nextBeat = false, w.now()
			w.play.rec.log("%s: no answer to beat %d", w.id, count)
		}()
		return
	}
	go func() {
		answer, err := w.post(body)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.beating = false
		switch {
		case w.dead:
		case err != nil || w.now()-now > answerTimeout:
			// The next daemon would be called, but there is only one: the next beat is the
			// usual one.
			w.play.rec.log("%s: no answer to beat %d: %v", w.id, count, err)
		default:
			w.take(now, answer)
		}
	}()
}

func (w *worker) listed() string {
	var names []string
	for _, r := range w.runs {
		names = append(names, fmt.Sprintf("%s#%d", r.task, r.number))
	}
	return "[" + strings.Join(names, " ") + "]"
}

// deliverLate delivers the beats that were held up, in the order in which they were sent.
// Nobody waits for their answers any more.
func (w *worker) deliverLate() {
	w.mu.Lock()
	late := w.lateBodies
	w.lateBodies = nil
	w.mu.Unlock()
	for _, beat := range late {
		answer, err := w.post(beat.body)
		w.play.rec.log("FAULT %s: beat %d arrives %.1f s late, answered %s %v", w.id, beat.count,
			(w.now() - beat.sentAt).Seconds(), answer, err)
	}
}

func (w *worker) post(body []byte) ([]byte, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+w.agent+"/Workers.Heartbeat/"+w.id, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := w.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode/100 != 2 {
		err = fmt.Errorf("status %d", response.StatusCode)
	}
	return answer, err
}

func (w *worker) body(now time.Duration) []byte {
	running, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, "", 0})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.number, e.run.task, e.run.number, e.run.how, ""})
	}
	data, err := json.Marshal(map[string]any{
		"service": serviceName, "address": w.machine.ip + ":8080", "zone": w.machine.zone, "configVersion": "v1",
		"freeSlots": 8, "workerState": "ready", "coldLeftMs": 0, "freeRoom": w.capacity, "tags": w.tags,
		"clockMs": now.Milliseconds(), "callCount": w.callCount, "runningCount": running, "finished": finished,
	})
	if err != nil {
		cannot("%v", err)
	}
	return data
}

// take does what the answer to a beat says.
func (w *worker) take(sentAt time.Duration, answer []byte) {
	var a struct {
		HoldMs      int64   `json:"holdMs"`
		LastSeen    uint64  `json:"lastSeen"`
		FenceNumber uint64  `json:"fenceNumber"`
		Started     [][]any `json:"started"`
		Stopped     [][]any `json:"stopped"`
		RetryInMs   int64   `json:"retryInMs"`
	}
	now := w.now()
	if err := json.Unmarshal(answer, &a); err != nil {
		w.play.rec.log("%s: unreadable answer %q", w.id, answer)
		return
	}
	if a.RetryInMs > 0 {
		w.nextBeat = min(w.nextBeat, now+time.Duration(a.RetryInMs)*time.Millisecond)
	}
	if a.FenceNumber < w.fence {
		return
	}
	w.fence = a.FenceNumber
	if a.HoldMs > 0 {
		w.holdUntil = max(w.holdUntil, sentAt+min(maxHold, time.Duration(a.HoldMs)*time.Millisecond))
	}
	for _, e := range w.ends {
		if e.number <= a.LastSeen {
			w.play.rec.log("%s: end %d of %s#%d (%s) is taken note of", w.id, e.number, e.run.task, e.run.number, e.run.how)
		}
	}
	w.ends = slices.DeleteFunc(w.ends, func(e end) bool { return e.number <= a.LastSeen })
	for _, row := range a.Stopped {
		if task, number, ok := taskOf(row); ok {
			w.stop(now, task, number)
		}
	}
	if a.HoldMs <= 0 || now >= w.holdUntil {
		return
	}
	for _, row := range a.Started {
		if task, number, ok := taskOf(row); ok {
			w.start(now, task, number)
		}
	}
}

func taskOf(row []any) (task string, number int, ok bool) {
	if len(row) < 2 {
		return "", 0, false
	}
	task, isText := row[0].(string)
	count, isNumber := row[1].(float64)
	return task, int(count), isText && isNumber
}

func (w *worker) stop(now time.Duration, task string, number int) {
	w.highest[task] = max(w.highest[task], number)
	for _, r := range slices.Clone(w.runs) {
		if r.task == task && r.number <= number {
			w.end(now, r, "stopped")
		}
	}
}

// start begins a run: this worker doesn't guard its room and starts what it is told.
func (w *worker) start(now time.Duration, task string, number int) {
	if number <= w.highest[task] || slices.ContainsFunc(w.runs, func(r *run) bool { return r.task == task }) {
		return
	}
	r := &run{task: task, number: number, worker: w.id, startedAt: now}
	_, step := w.play.stepOf(task)
	if !step.AllTogether {
		r.worksFrom = now
	}
	w.runs, w.lastStartSeen = append(w.runs, r), now
	w.play.runs = append(w.play.runs, r)
	w.nextBeat = min(w.nextBeat, now+50*time.Millisecond)
	w.play.rec.log("%s: run %s#%d starts", w.id, task, number)
}

// crash ends a worker for good: all that it runs dies, and it says nothing.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.play.rec.log("FAULT %s is lost for good", w.id)
	w.dead = true
	for _, r := range w.runs {
		r.endedAt, r.how = now, "lost with its worker"
	}
	w.runs = nil
}

// used is what the worker's runs take.
func (w *worker) used() (sum room) {
	for _, r := range w.runs {
		_, step := w.play.stepOf(r.task)
		sum = sum.add(step.room)
	}
	return sum
}
