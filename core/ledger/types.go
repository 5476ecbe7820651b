// The records of the ledger and the commands that change them. All of them are
// plain values that travel as JSON; times are monotonic ledger time, counted
// from the founding of the cluster and carried on by each primary.
package ledger

import (
	"encoding/json"
	"fmt"
	"time"

	"sorrelloom/core/code"
	"sorrelloom/core/plan"
)

type Room = plan.Room

// TaskSpec is one task as the caller asked for it.
type TaskSpec struct {
	ID             string          `json:"id"`
	After          []string        `json:"after,omitempty"`
	Room           Room            `json:"room"`
	Labels         []string        `json:"labels,omitempty"`
	Gang           string          `json:"gang,omitempty"`
	RunLimit       plan.Span       `json:"runLimit,omitzero"`
	AllowedDefects int             `json:"allowedDefects,omitempty"`
	Silence        string          `json:"silence,omitempty"`
	Payload        json.RawMessage `json:"payload,omitempty"`
	Placing
	// Needs are the places of what After names; they are worked out, not sent.
	Needs []int `json:"-"`
	// Time and Step say where a task of a job in steps comes from.
	Time int `json:"-"`
	Step int `json:"-"`
}

// Placing is what a task asks for besides room and labels.
type Placing struct {
	// Guess is roughly how long a run takes.
	Guess plan.Span `json:"guess,omitzero"`
	// NearRack is the rack that holds the data; any other will do, but slower.
	NearRack string `json:"nearRack,omitempty"`
	// SameRack asks for a gang on one rack; spread it runs too, but slower.
	SameRack bool `json:"sameRack,omitempty"`
	// PerWorker bounds how many of a step stand on one worker; 0 does not.
	PerWorker int `json:"perWorker,omitempty"`
	// Progress says that what a run has saved is handed to the next one.
	Progress bool `json:"progress,omitempty"`
	// Copies says that runs beside one another do no harm.
	Copies bool `json:"copies,omitempty"`
	// Lasting tasks run until their job is cancelled, and start again however they end.
	Lasting bool `json:"lasting,omitempty"`
}

// StepSpec is many like tasks in one line: the task with index N of step S at
// the time T has the id "T.S.N".
type StepSpec struct {
	Count  int      `json:"count"`
	After  []int    `json:"after,omitempty"`
	Room   Room     `json:"room"`
	Labels []string `json:"labels,omitempty"`
	Gang   bool     `json:"gang,omitempty"`
	// AllowedDefects of each task; 0 stands for the class's.
	AllowedDefects int `json:"allowedDefects,omitempty"`
	Placing
}

// Repeat has the steps run Count times; time T is due at FirstAt + T*Every.
type Repeat struct {
	Count   int       `json:"count"`
	FirstAt time.Time `json:"firstAt"`
	Every   plan.Span `json:"every"`
}

// JobSpec names its tasks one by one or as steps. Host and Path, where set,
// choose service and class by the plan's entries.
type JobSpec struct {
	ID      string          `json:"id"`
	Host    string          `json:"host,omitempty"`
	Path    string          `json:"path,omitempty"`
	Service string          `json:"service"`
	Class   string          `json:"class"`
	Cutoff  plan.Span       `json:"cutoff,omitzero"`
	Payload json.RawMessage `json:"payload,omitempty"`
	Steps   []StepSpec      `json:"steps,omitempty"`
	Repeat  Repeat          `json:"repeat,omitzero"`
	Tasks   []TaskSpec      `json:"tasks,omitempty"`
}

// Attempt names one try of one task, for ever.
type Attempt struct {
	Job  string `json:"job"`
	Task string `json:"task"`
	Try  int    `json:"try"`
}

func (a Attempt) String() string { return fmt.Sprintf("%s/%s/%d", a.Job, a.Task, a.Try) }

// End is one reported end. Lost is an end through no fault of the attempt, which
// counts for nothing; Saved is what it had saved by then.
type End struct {
	Attempt
	Good    bool   `json:"good"`
	Stopped bool   `json:"stopped,omitempty"`
	Lost    bool   `json:"lost,omitempty"`
	Why     string `json:"why,omitempty"`
	Saved   string `json:"saved,omitempty"`
	Percent int    `json:"percent,omitempty"`
}

// Progress is what a running attempt has saved, and how far it says it is.
type Progress struct {
	Attempt
	Saved   string `json:"saved"`
	Percent int    `json:"percent,omitempty"`
}

type Beat struct {
	Worker      string    `json:"worker"`
	Incarnation int64     `json:"incarnation"`
	Number      uint64    `json:"number"`
	Site        string    `json:"site"`
	Rack        string    `json:"rack,omitempty"`
	Service     string    `json:"service"`
	Labels      []string  `json:"labels,omitempty"`
	Running     []Attempt `json:"running,omitempty"`
	Ended       []End     `json:"ended,omitempty"`
	Free        Room      `json:"free"`
	Total       Room      `json:"total,omitzero"`
	Leaving     bool      `json:"leaving,omitempty"`
	// LeavesIn is how long a leaving worker still runs what it has; 0 is unknown.
	LeavesIn time.Duration `json:"leavesIn,omitempty"`
	// Address, where given, belongs to one worker at a time: a newcomer at it
	// proves that the one before it is gone, with all that it ran.
	Address  string     `json:"address,omitempty"`
	Progress []Progress `json:"progress,omitempty"`
}

// Turn is a grant in force. Stop, once set, says why it is to end. Limit is how
// long the worker was told that the attempt may run.
type Turn struct {
	Try         int           `json:"try"`
	Worker      string        `json:"worker"`
	Incarnation int64         `json:"incarnation"`
	Beat        uint64        `json:"beat"`
	GrantedAt   time.Duration `json:"grantedAt"`
	Limit       time.Duration `json:"limit"`
	StartedAt   time.Duration `json:"startedAt,omitempty"`
	OrphanUntil time.Duration `json:"orphanUntil,omitempty"`
	Borrowed    bool          `json:"borrowed,omitempty"`
	Stop        string        `json:"stop,omitempty"`
}

func (t Turn) Held() bool { return t.Try > 0 }

const (
	Waiting   = "waiting"
	Open      = "open"
	Done      = "done"
	Failed    = "failed"
	Cancelled = "cancelled"
	Running   = "running"
)

type Task struct {
	Number     uint64        `json:"number"`
	State      string        `json:"state"`
	Level      int           `json:"level"`
	Tries      int           `json:"tries,omitempty"`
	Defects    int           `json:"defects,omitempty"`
	Losses     int           `json:"losses,omitempty"`
	ReleasedAt time.Duration `json:"releasedAt,omitempty"`
	EndedAt    time.Duration `json:"endedAt,omitempty"`
	Holder     string        `json:"holder,omitempty"`
	Why        string        `json:"why,omitempty"`
	FailedOn   []string      `json:"failedOn,omitempty"`
	Turn       Turn          `json:"turn,omitzero"`
	// DueAt keeps a task waiting until then; Saved is what its runs have saved.
	DueAt   time.Duration `json:"dueAt,omitempty"`
	Saved   string        `json:"saved,omitempty"`
	Percent int           `json:"percent,omitempty"`
	// DefectTry is the try whose defect was counted last, so that a gang's counts once.
	DefectTry int `json:"defectTry,omitempty"`
}

func (t Task) Closed() bool { return t.State == Done || t.State == Failed || t.State == Cancelled }

// Job is one job. Digest is that of the job as it was handed in, First the number
// of its first task. Its tasks are records of their own on a disk.
type Job struct {
	Spec       JobSpec       `json:"spec"`
	Digest     string        `json:"digest,omitempty"`
	First      uint64        `json:"first,omitempty"`
	State      string        `json:"state"`
	Ending     string        `json:"ending,omitempty"`
	Why        string        `json:"why,omitempty"`
	AcceptedAt time.Duration `json:"acceptedAt"`
	EndedAt    time.Duration `json:"endedAt,omitempty"`
	Tasks      []Task        `json:"tasks,omitempty"`
}

// Brief is the job without its tasks.
func (j Job) Brief() Job {
	j.Spec.Tasks, j.Spec.Steps, j.Spec.Payload, j.Tasks = nil, nil, nil, nil
	return j
}

type Worker struct {
	Beat
	Capacity Room `json:"capacity"`
	// Stray is what the worker runs beside its turns, and is told to stop.
	Stray    Room          `json:"stray,omitzero"`
	Drained  bool          `json:"drained,omitempty"`
	Gone     bool          `json:"gone,omitempty"`
	SeenAt   time.Duration `json:"seenAt"`
	CutoffAt time.Duration `json:"cutoffAt"`
}

// Duty is done by one daemon at a time. Votes say, for the epoch after this
// one, whom each daemon would have hold it.
type Duty struct {
	Name   string            `json:"name"`
	Holder string            `json:"holder"`
	Epoch  uint64            `json:"epoch"`
	SeenAt time.Duration     `json:"seenAt"`
	Votes  map[string]string `json:"votes,omitempty"`
}

// Daemon is a scheduler that has said hello to the ledger.
type Daemon struct {
	ID     string        `json:"id"`
	Site   string        `json:"site"`
	SeenAt time.Duration `json:"seenAt"`
}

// Position is how far a copy of the ledger has come.
type Position struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

type Pick struct {
	Job    string `json:"job"`
	Task   string `json:"task"`
	Worker string `json:"worker"`
}

// Grant is refused unless its duty's epoch is current. A gang comes whole. A
// push-out names the task that it makes room For.
type Grant struct {
	Duty  string `json:"duty"`
	Epoch uint64 `json:"epoch"`
	Picks []Pick `json:"picks"`
	For   Pick   `json:"for,omitzero"`
}

// PlanChange is conditional on Base. Sequence, where set, is the number that the
// plan is to have, above the current one; else it is the next.
type PlanChange struct {
	Base     uint64          `json:"base"`
	Sequence uint64          `json:"sequence,omitempty"`
	Forced   bool            `json:"forced,omitempty"`
	Patch    bool            `json:"patch,omitempty"`
	Body     json.RawMessage `json:"body"`
}

// Hello keeps a scheduler's registration and its duties. With Want it is a vote
// that a duty whose holder is silent go to For; with Pass it is the holder
// itself that names its successor.
type Hello struct {
	Daemon  string `json:"daemon"`
	Site    string `json:"site"`
	Want    string `json:"want,omitempty"`
	For     string `json:"for,omitempty"`
	Epoch   uint64 `json:"epoch,omitempty"`
	Pass    bool   `json:"pass,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

const (
	KindAccept  = "accept"
	KindCancel  = "cancel"
	KindBeat    = "beat"
	KindGrant   = "grant"
	KindPushOut = "push-out"
	KindPlan    = "plan"
	KindSite    = "site"
	KindDrain   = "drain"
	KindGone    = "gone"
	KindHello   = "hello"
	KindMove    = "move"
	KindTick    = "tick"
	// KindTake is the primary's own dispatcher taking a duty; nobody else may send it.
	KindTake = "take"
	// What follows changes nothing: a job, a class's waiting tasks, the plan, an
	// operator's write by its token, or just the proof that the primary leads.
	KindRead        = "read"
	KindReadCount   = "read-count"
	KindReadPlan    = "read-plan"
	KindReadRequest = "read-request"
	KindProve       = "prove"
)

// Reads says whether a kind of command changes nothing.
func Reads(kind string) bool {
	switch kind {
	case KindRead, KindReadCount, KindReadPlan, KindReadRequest, KindProve:
		return true
	}
	return false
}

// Command is one conditional write, stamped by the primary. Token marks one
// operator's call and Asked when it came, so that a repeat changes nothing.
type Command struct {
	Position
	At    time.Duration `json:"at"`
	Kind  string        `json:"kind"`
	Name  string        `json:"name,omitempty"`
	On    bool          `json:"on,omitempty"`
	Token string        `json:"token,omitempty"`
	Asked time.Duration `json:"asked,omitempty"`
	// Digest, where set, is that of the call as it was sent; repeats are known by it.
	Digest string `json:"digest,omitempty"`
	// MaxAge, where set, is how long after Asked an order may still be carried out.
	// Proven is then the sequence that a leader had proved to the sender after the call
	// came: an order to the contrary that was carried out after it is the later one.
	MaxAge time.Duration `json:"maxAge,omitempty"`
	Proven uint64        `json:"proven,omitempty"`
	// Wall is the primary's time of day, by which due times are placed.
	Wall time.Time `json:"wall,omitzero"`
	// Host and Path choose an entry; Brief asks for an answer without tasks.
	Host   string     `json:"host,omitempty"`
	Path   string     `json:"path,omitempty"`
	Brief  bool       `json:"brief,omitempty"`
	Accept JobSpec    `json:"accept,omitzero"`
	Beat   Beat       `json:"beat,omitzero"`
	Grant  Grant      `json:"grant,omitzero"`
	Plan   PlanChange `json:"plan,omitzero"`
	Hello  Hello      `json:"hello,omitzero"`
}

// Start is an order to run one attempt.
type Start struct {
	Attempt
	Service  string          `json:"service"`
	Class    string          `json:"class"`
	Room     Room            `json:"room"`
	Gang     string          `json:"gang,omitempty"`
	RunLimit plan.Span       `json:"runLimit,omitzero"`
	Holders  []string        `json:"holders,omitempty"`
	Payload  json.RawMessage `json:"payload,omitempty"`
	Saved    string          `json:"saved,omitempty"`
}

// Orders is the reply to a beat. Epoch is that of the primary it comes from.
type Orders struct {
	Epoch       uint64        `json:"epoch,omitempty"`
	Starts      []Start       `json:"starts,omitempty"`
	Stops       []Attempt     `json:"stops,omitempty"`
	Acks        []Attempt     `json:"acks,omitempty"`
	Lease       time.Duration `json:"lease,omitempty"`
	Incarnation int64         `json:"incarnation,omitempty"`
	// Number, in the answer to a stale beat, is the last beat that was taken.
	Number uint64 `json:"number,omitempty"`
}

// Answer is the end of a command. Count and Plan answer reads.
type Answer struct {
	Code       code.Code     `json:"code"`
	Why        string        `json:"why,omitempty"`
	Sequence   uint64        `json:"sequence,omitempty"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	Orders     Orders        `json:"orders,omitzero"`
	Job        Job           `json:"job,omitzero"`
	Faults     []plan.Fault  `json:"faults,omitempty"`
	Count      int           `json:"count,omitempty"`
	Plan       *plan.Plan    `json:"plan,omitempty"`
	// Time and Proven, in a proof, are the ledger's time and the sequence up to which
	// the leader has committed everything.
	Time   time.Duration `json:"time,omitempty"`
	Proven uint64        `json:"proven,omitempty"`
}

func bounce(c code.Code, format string, args ...any) Answer {
	return Answer{Code: c, Why: fmt.Sprintf(format, args...)}
}

// ID is the worker's name.
func (w Worker) ID() string { return w.Beat.Worker }
