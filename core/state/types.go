// The records of the ledger and the commands that change them. All of them are
// plain values that travel as JSON; times are monotonic ledger time, counted
// from the founding of the cluster and carried on by each primary.

package state

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"sorrelloom/core/config"
	"sorrelloom/core/status"
)

type Resources = config.Resources

// TaskSpec is one task as the caller asked for it.
type TaskSpec struct {
	ID               string          `json:"id"`
	DependsOn        []string        `json:"after,omitempty"`
	Resources        Resources       `json:"room"`
	Labels           []string        `json:"labels,omitempty"`
	Gang             string          `json:"gang,omitempty"`
	RunLimit         config.Duration `json:"runLimit,omitzero"`
	MaxFailures      int             `json:"allowedDefects,omitempty"`
	LostWorkerPolicy string          `json:"silence,omitempty"`
	Payload          json.RawMessage `json:"payload,omitempty"`
	Placement
	// Needs are the places of what After names; they are worked out, not sent.
	Dependencies []int `json:"-"`
	// Time and Step say where a task of a job in steps comes from.
	Repetition int `json:"-"`
	Step       int `json:"-"`
}

// Placing is what a task asks for besides room and labels.
type Placement struct {
	// Guess is roughly how long a run takes.
	ExpectedRunTime config.Duration `json:"guess,omitzero"`
	// NearRack is the rack that holds the data; any other will do, but slower.
	PreferredRack string `json:"nearRack,omitempty"`
	// SameRack asks for a gang on one rack; spread it runs too, but slower.
	SameRack bool `json:"sameRack,omitempty"`
	// PerWorker bounds how many of a step stand on one worker; 0 does not.
	MaxPerWorker int `json:"perWorker,omitempty"`
	// Progress says that what a run has saved is handed to the next one.
	Checkpointed bool `json:"progress,omitempty"`
	// Copies says that runs beside one another do no harm.
	AllowsDuplicates bool `json:"copies,omitempty"`
	// Lasting tasks run until their job is cancelled, and start again however they end.
	LongRunning bool `json:"lasting,omitempty"`
}

// StepSpec is many like tasks in one line: the task with index N of step S at
// the time T has the id "T.S.N".
type StepSpec struct {
	Count     int       `json:"count"`
	DependsOn []int     `json:"after,omitempty"`
	Resources Resources `json:"room"`
	Labels    []string  `json:"labels,omitempty"`
	Gang      bool      `json:"gang,omitempty"`
	// AllowedDefects of each task; 0 stands for the class's.
	MaxFailures int `json:"allowedDefects,omitempty"`
	Placement
}

// Repeat has the steps run Count times; time T is due at FirstAt + T*Every.
type Repeat struct {
	Count   int             `json:"count"`
	FirstAt time.Time       `json:"firstAt"`
	Every   config.Duration `json:"every"`
}

// JobSpec names its tasks one by one or as steps. Host and Path, where set,
// choose service and class by the plan's entries.
type JobSpec struct {
	ID       string          `json:"id"`
	Host     string          `json:"host,omitempty"`
	Path     string          `json:"path,omitempty"`
	Service  string          `json:"service"`
	Class    string          `json:"class"`
	Deadline config.Duration `json:"cutoff,omitzero"`
	Payload  json.RawMessage `json:"payload,omitempty"`
	Steps    []StepSpec      `json:"steps,omitempty"`
	Repeat   Repeat          `json:"repeat,omitzero"`
	Tasks    []TaskSpec      `json:"tasks,omitempty"`
}

// Attempt names one try of one task, for ever.
type Attempt struct {
	Job    string `json:"job"`
	Task   string `json:"task"`
	Number int    `json:"try"`
}

func (a Attempt) compare(b Attempt) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
}

func (a Attempt) String() string { return fmt.Sprintf("%s/%s/%d", a.Job, a.Task, a.Number) }

// End is one reported end. Lost is an end through no fault of the attempt, which
// counts for nothing; Saved is what it had saved by then.
type AttemptResult struct {
	Attempt
	Succeeded  bool   `json:"good"`
	Stopped    bool   `json:"stopped,omitempty"`
	Lost       bool   `json:"lost,omitempty"`
	Reason     string `json:"why,omitempty"`
	Checkpoint string `json:"saved,omitempty"`
	Percent    int    `json:"percent,omitempty"`
}

// Progress is what a running attempt has saved, and how far it says it is.
type Progress struct {
	Attempt
	Checkpoint string `json:"saved"`
	Percent    int    `json:"percent,omitempty"`
}

type Heartbeat struct {
	Worker      string          `json:"worker"`
	Incarnation int64           `json:"incarnation"`
	Number      uint64          `json:"number"`
	Zone        string          `json:"site"`
	Rack        string          `json:"rack,omitempty"`
	Service     string          `json:"service"`
	Labels      []string        `json:"labels,omitempty"`
	Running     []Attempt       `json:"running,omitempty"`
	Ended       []AttemptResult `json:"ended,omitempty"`
	Free        Resources       `json:"free"`
	Total       Resources       `json:"total,omitzero"`
	Leaving     bool            `json:"leaving,omitempty"`
	// LeavesIn is how long a leaving worker still runs what it has; 0 is unknown.
	LeavesIn time.Duration `json:"leavesIn,omitempty"`
	// Address, where given, belongs to one worker at a time: a newcomer at it
	// proves that the one before it is gone, with all that it ran.
	Address  string     `json:"address,omitempty"`
	Progress []Progress `json:"progress,omitempty"`
	// Reduced marks a report that the primary has reduced to its changes: Running
	// lists only what is no started turn of the worker, Unlisted the turns that the
	// worker does not run, and its standing properties are left out.
	Delta      bool      `json:"reduced,omitempty"`
	NotRunning []Attempt `json:"unlisted,omitempty"`
}

// Turn is a grant in force. Stop, once set, says why it is to end. Limit is how
// long the worker was told that the attempt may run.
type Lease struct {
	AttemptNumber   int           `json:"try"`
	Worker          string        `json:"worker"`
	Incarnation     int64         `json:"incarnation"`
	HeartbeatNumber uint64        `json:"beat"`
	GrantedAt       time.Duration `json:"grantedAt"`
	RunLimit        time.Duration `json:"limit"`
	StartedAt       time.Duration `json:"startedAt,omitempty"`
	OrphanUntil     time.Duration `json:"orphanUntil,omitempty"`
	Borrowed        bool          `json:"borrowed,omitempty"`
	StopReason      string        `json:"stop,omitempty"`
}

func (t Lease) Held() bool { return t.AttemptNumber > 0 }

const (
	Waiting   = "waiting"
	Ready     = "open"
	Done      = "done"
	Failed    = "failed"
	Cancelled = "cancelled"
	Running   = "running"
)

type Task struct {
	Number      uint64        `json:"number"`
	State       string        `json:"state"`
	Level       int           `json:"level"`
	Attempts    int           `json:"tries,omitempty"`
	Failures    int           `json:"defects,omitempty"`
	Losses      int           `json:"losses,omitempty"`
	ReadyAt     time.Duration `json:"releasedAt,omitempty"`
	EndedAt     time.Duration `json:"endedAt,omitempty"`
	CompletedOn string        `json:"holder,omitempty"`
	Reason      string        `json:"why,omitempty"`
	FailedOn    []string      `json:"failedOn,omitempty"`
	Lease       Lease         `json:"turn,omitzero"`
	// DueAt keeps a task waiting until then; Saved is what its runs have saved.
	DueAt      time.Duration `json:"dueAt,omitempty"`
	Checkpoint string        `json:"saved,omitempty"`
	Percent    int           `json:"percent,omitempty"`
	// DefectTry is the try whose defect was counted last, so that a gang's counts once.
	LastFailedAttempt int `json:"defectTry,omitempty"`
}

func (t Task) Terminal() bool { return t.State == Done || t.State == Failed || t.State == Cancelled }

// Job is one job. Digest is that of the job as it was handed in, First the number
// of its first task. Its tasks are records of their own on a disk.
type Job struct {
	Spec            JobSpec       `json:"spec"`
	Digest          string        `json:"digest,omitempty"`
	FirstTaskNumber uint64        `json:"first,omitempty"`
	State           string        `json:"state"`
	EndingState     string        `json:"ending,omitempty"`
	Reason          string        `json:"why,omitempty"`
	AcceptedAt      time.Duration `json:"acceptedAt"`
	EndedAt         time.Duration `json:"endedAt,omitempty"`
	Tasks           []Task        `json:"tasks,omitempty"`
}

// Brief is the job without its tasks.
func (j Job) Summary() Job {
	j.Spec.Tasks, j.Spec.Steps, j.Spec.Payload, j.Tasks = nil, nil, nil, nil
	return j
}

type Worker struct {
	Heartbeat
	Capacity Resources `json:"capacity"`
	// Stray is what the worker runs beside its turns, and is told to stop.
	Unleased       Resources     `json:"stray,omitzero"`
	Drained        bool          `json:"drained,omitempty"`
	ConfirmedDead  bool          `json:"gone,omitempty"`
	LastSeenAt     time.Duration `json:"seenAt"`
	LeaseExpiresAt time.Duration `json:"cutoffAt"`
}

// Duty is done by one daemon at a time. Votes say, for the epoch after this
// one, whom each daemon would have hold it.
type Leadership struct {
	Name       string            `json:"name"`
	Leader     string            `json:"holder"`
	Epoch      uint64            `json:"epoch"`
	LastSeenAt time.Duration     `json:"seenAt"`
	Votes      map[string]string `json:"votes,omitempty"`
}

// Daemon is a scheduler that has said hello to the ledger.
type Scheduler struct {
	ID         string        `json:"id"`
	Zone       string        `json:"site"`
	LastSeenAt time.Duration `json:"seenAt"`
}

// Position is how far a copy of the ledger has come.
type LogPosition struct {
	Epoch uint64 `json:"epoch"`
	Index uint64 `json:"sequence"`
}

// Pick is a task for a worker. Beat is the number of the worker's last report,
// which may be later than the last one that the ledger has.
type Assignment struct {
	Job             string `json:"job"`
	Task            string `json:"task"`
	Worker          string `json:"worker"`
	HeartbeatNumber uint64 `json:"beat,omitempty"`
}

// Grant is refused unless its duty's epoch is current. A gang comes whole. A
// push-out names the task that it makes room For.
type Grant struct {
	Leadership  string       `json:"duty"`
	Epoch       uint64       `json:"epoch"`
	Assignments []Assignment `json:"picks"`
	PreemptFor  Assignment   `json:"for,omitzero"`
}

// PlanChange is conditional on Base. Sequence, where set, is the number that the
// plan is to have, above the current one; else it is the next.
type ConfigChange struct {
	BaseVersion uint64          `json:"base"`
	Version     uint64          `json:"sequence,omitempty"`
	Forced      bool            `json:"forced,omitempty"`
	Patch       bool            `json:"patch,omitempty"`
	Body        json.RawMessage `json:"body"`
}

// Hello keeps a scheduler's registration and its duties. With Want it is a vote
// that a duty whose holder is silent go to For; with Pass it is the holder
// itself that names its successor.
type SchedulerHeartbeat struct {
	Scheduler  string `json:"daemon"`
	Zone       string `json:"site"`
	Leadership string `json:"want,omitempty"`
	Candidate  string `json:"for,omitempty"`
	Epoch      uint64 `json:"epoch,omitempty"`
	Transfer   bool   `json:"pass,omitempty"`
	Leaving    bool   `json:"leaving,omitempty"`
}

const (
	KindAcceptJob          = "accept"
	KindCancelJob          = "cancel"
	KindHeartbeat          = "beat"
	KindGrantLeases        = "grant"
	KindPreempt            = "push-out"
	KindChangeConfig       = "plan"
	KindDrainZone          = "site"
	KindDrainWorker        = "drain"
	KindConfirmWorkerDead  = "gone"
	KindSchedulerHeartbeat = "hello"
	KindTransferLeadership = "move"
	KindTick               = "tick"
	// KindTake is the primary's own dispatcher taking a duty; nobody else may send it.
	KindTakeLeadership = "take"
	// KindRenew is the primary's own dispatcher renewing the leases of all workers
	// that it has heard lately; nobody else may send it.
	KindRenewWorkers = "renew"
	// What follows changes nothing: a job, a class's waiting tasks, the plan, an
	// operator's write by its token, or just the proof that the primary leads.
	KindReadJob           = "read"
	KindReadWaitingCount  = "read-count"
	KindReadConfig        = "read-plan"
	KindReadRequest       = "read-request"
	KindConfirmLeadership = "prove"
)

// Reads says whether a kind of command changes nothing.
func IsReadOnly(kind string) bool {
	switch kind {
	case KindReadJob, KindReadWaitingCount, KindReadConfig, KindReadRequest, KindConfirmLeadership:
		return true
	}
	return false
}

// Command is one conditional write, stamped by the primary. Token marks one
// operator's call and Asked when it came, so that a repeat changes nothing.
type Command struct {
	LogPosition
	Time           time.Duration `json:"at"`
	Kind           string        `json:"kind"`
	Name           string        `json:"name,omitempty"`
	Drain          bool          `json:"on,omitempty"`
	IdempotencyKey string        `json:"token,omitempty"`
	RequestedAt    time.Duration `json:"asked,omitempty"`
	// Digest, where set, is that of the call as it was sent; repeats are known by it.
	Digest string `json:"digest,omitempty"`
	// MaxAge, where set, is how long after Asked an order may still be carried out.
	// Proven is then the sequence that a leader had proved to the sender after the call
	// came: an order to the contrary that was carried out after it is the later one.
	MaxAge         time.Duration `json:"maxAge,omitempty"`
	ConfirmedIndex uint64        `json:"proven,omitempty"`
	// Wall is the primary's time of day, by which due times are placed.
	WallTime time.Time `json:"wall,omitzero"`
	// Host and Path choose an entry; Brief asks for an answer without tasks.
	Host               string             `json:"host,omitempty"`
	Path               string             `json:"path,omitempty"`
	Summary            bool               `json:"brief,omitempty"`
	Job                JobSpec            `json:"accept,omitzero"`
	Heartbeat          Heartbeat          `json:"beat,omitzero"`
	Renewals           []Renewal          `json:"renew,omitempty"`
	Grant              Grant              `json:"grant,omitzero"`
	ConfigChange       ConfigChange       `json:"plan,omitzero"`
	SchedulerHeartbeat SchedulerHeartbeat `json:"hello,omitzero"`
}

// Start is an order to run one attempt.
type StartOrder struct {
	Attempt
	Service           string          `json:"service"`
	Class             string          `json:"class"`
	Resources         Resources       `json:"room"`
	Gang              string          `json:"gang,omitempty"`
	RunLimit          config.Duration `json:"runLimit,omitzero"`
	DependencyWorkers []string        `json:"holders,omitempty"`
	Payload           json.RawMessage `json:"payload,omitempty"`
	Checkpoint        string          `json:"saved,omitempty"`
}

// Orders is the reply to a beat. Epoch is that of the primary it comes from.
type HeartbeatReply struct {
	Epoch         uint64        `json:"epoch,omitempty"`
	Starts        []StartOrder  `json:"starts,omitempty"`
	Stops         []Attempt     `json:"stops,omitempty"`
	Acks          []Attempt     `json:"acks,omitempty"`
	LeaseDuration time.Duration `json:"lease,omitempty"`
	Incarnation   int64         `json:"incarnation,omitempty"`
	// Number, in the answer to a stale beat, is the last beat that was taken.
	HeartbeatNumber uint64 `json:"number,omitempty"`
}

// Answer is the end of a command. Count and Plan answer reads.
type Result struct {
	Code          status.Code        `json:"code"`
	Reason        string             `json:"why,omitempty"`
	ConfigVersion uint64             `json:"sequence,omitempty"`
	RetryAfter    time.Duration      `json:"retryAfter,omitempty"`
	Heartbeat     HeartbeatReply     `json:"orders,omitzero"`
	Job           Job                `json:"job,omitzero"`
	Violations    []config.Violation `json:"faults,omitempty"`
	WaitingCount  int                `json:"count,omitempty"`
	Config        *config.Config     `json:"plan,omitempty"`
	// Time and Proven, in a proof, are the ledger's time and the sequence up to which
	// the leader has committed everything.
	Time           time.Duration `json:"time,omitempty"`
	ConfirmedIndex uint64        `json:"proven,omitempty"`
}

func reject(c status.Code, format string, args ...any) Result {
	return Result{Code: c, Reason: fmt.Sprintf(format, args...)}
}

// ID is the worker's name.
func (w Worker) ID() string { return w.Heartbeat.Worker }
