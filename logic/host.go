// Package logic decides when jobs are dispatched and to which engine, whether they are retried, and which are rejected.
// It does no I/O and reads no clock. logic.go has the decisions, engines.go the list of engines; this file has the
// interfaces to the code that reports events and carries out decisions.
//
// Comments refer to seven rules that hold for every job, by number:
//
//  1. A job gets one final answer, in time, and nothing is sent for it afterwards: not once its deadline has passed or its
//     client has left.
//  2. A job that may have run is repeated only as its class allows (see Repeat).
//  3. Engines that drain or have gone get no jobs.
//  4. Cold engines, which have started recently, get a limited amount of work from all controllers together (see EngineLimit).
//  5. Jobs of one key of an ordered class run one after the other, in order of arrival.
//  6. Jobs go only to the locations and kinds of engines that their class allows.
//  7. Retries stay within the retry budget (see Limits).
package logic

import "time"

// Times and durations are whole nanoseconds. The clock may start at any value and only moves forward.

// Identifiers and names. Key is the order key of jobs of ordered classes. Tables identifies the group of tables that a
// job uses, and Cell a group of engines within which repeats of keyed jobs may be dropped.
type (
	JobID      string
	EngineID   string
	ClassName  string
	CustomerID string
	Location   string
	KindName   string
	Key        string
	Tables     int64
	Cell       int64
	TimerID    int64
	PeerID     int64
)

// Host carries out decisions. A call takes effect at the time of the event being handled.
type Host interface {
	// Attempt sends a job to an engine, which must answer before timeout has passed. If the first byte was not sent
	// before startWithin has passed, the host must not send the job, and must report the attempt as NotSent.
	Attempt(job JobID, engine EngineID, timeout, startWithin time.Duration)
	// SetTerms sets the memory grant and the priority (1, or 2 for a job with little slack) of the job's following
	// attempts.
	SetTerms(job JobID, memoryMB float64, priority int)
	// Recall cancels an attempt, counted from 0, which ends with the outcome Recalled.
	Recall(job JobID, attempt int)
	// Reject answers the client that the job was rejected and may be retried after retryAfter.
	Reject(job JobID, retryAfter time.Duration)
	// Fail answers the client that the job failed. It may have run.
	Fail(job JobID)
	// StartTimer calls Module.TimerDue after a delay.
	StartTimer(timer TimerID, delay time.Duration)
	// FollowList requests the list of engines and all changes to it from discovery, or ends that.
	FollowList(follow bool)
	// FetchList requests a complete list of engines.
	FetchList()
	// Probe sends an engine a probe, whose result comes with Module.ProbeAnswered.
	Probe(engine EngineID)
	// CloseIdle closes the idle connections to an engine.
	CloseIdle(engine EngineID)
	// SendToPeer sends another controller a message.
	SendToPeer(peer PeerID, message string)
	// SetSuspected reports that an engine is suspected to have failed, or no longer is.
	SetSuspected(engine EngineID, suspected bool)
	// KeyRests reports that the order key of a job rests: no other job of the key is dispatched before until, as an attempt
	// of this one may still be running.
	KeyRests(job JobID, until time.Duration)
	// Log logs a line for operators.
	Log(line string)
}

// Module handles the events of a controller process. The first argument of each method is the current time. Controller
// is the implementation for production; others are baselines for measurements.
type Module interface {
	// ListBegins, EngineListed for each engine, and ListEnds report one event of the list of engines.
	ListBegins(now time.Duration, kind ListKind)
	// EngineListed reports the state of one engine. startedAt is when its process started, 0 for long ago.
	EngineListed(now time.Duration, id EngineID, location Location, kind KindName, cell Cell, health Health,
		weight float64, startedAt time.Duration)
	ListEnds(now time.Duration)
	// JobArrived reports a job that has arrived. expires is the latest time of its answer. declaredCost is the thread time
	// and memoryMB the memory that the client declares, or 0. repeat says that the client has sent the job before.
	JobArrived(now time.Duration, id JobID, className ClassName, customer CustomerID, key Key,
		expires, declaredCost time.Duration, memoryMB float64, tables Tables, repeat bool, placement Placement)
	// PlacementChanged reports that a job's placement has changed; noneLeft says that the job has no engine left.
	PlacementChanged(now time.Duration, id JobID, placement Placement, noneLeft bool)
	// ClientGone reports that a job's client has left.
	ClientGone(now time.Duration, id JobID)
	// MayStart reports that a job's attempt, which had waited for a connection after it was decided, is about to be sent. It
	// returns false if the attempt must not be sent any more; the host then reports it as NotSent. It may be called from
	// within Host.Attempt.
	MayStart(now time.Duration, id JobID) bool
	// ShuttingDown reports that the process is shutting down. All jobs are answered before exitBy.
	ShuttingDown(now, exitBy time.Duration)
	// AttemptEnded reports the end of an attempt, counted from 0 for each job. latency is how long it took. jobOver says
	// that the job has its final answer; work is the thread time and memoryMB the memory that the engine says that the
	// job needed, or 0.
	AttemptEnded(now time.Duration, id JobID, attempt int, engine EngineID, outcome Outcome, latency time.Duration,
		jobOver bool, work time.Duration, memoryMB float64, load Load)
	// TimerDue reports that the delay of Host.StartTimer has passed.
	TimerDue(now time.Duration, timer TimerID)
	// ProbeAnswered reports the result of Host.Probe.
	ProbeAnswered(now time.Duration, engine EngineID, outcome Outcome, latency time.Duration, load Load)
}

// Placement restricts a job's engines further than the rules do; it never permits what a rule forbids. A job without
// room holds back only later jobs of the same set of engines.
type Placement interface {
	// EngineSetKey identifies the set of engines: equal for the same set, nil for all engines.
	EngineSetKey() any
	// Allows reports whether the engine is in the set.
	Allows(engine EngineID) bool
	// HasRoom reports whether a job of this placement may be dispatched now.
	HasRoom() bool
	// MayRetry reports whether a job may be retried. sinceFirst is the time since the first of its attempts that may have
	// run was sent, or 0, and sinceLast is the time since its last attempt ended.
	MayRetry(sinceFirst, sinceLast time.Duration) bool
}

// Limits are the quotas that a controller keeps without talking to others, among them those of rule 4 (cold engines) and
// rule 7 (retry budget). Package decide/limit implements it.
type Limits interface {
	// CountJob counts a job, as part of the base that the retry budget is a share of.
	CountJob(now, arrivedAt time.Duration)
	// TakeCustomerShare takes one job from the customer's share and reports whether the share had room for it.
	TakeCustomerShare(now time.Duration, customer CustomerID) bool
	// MayRetry reports whether the retry budget allows another retry.
	MayRetry(now time.Duration) bool
	// CountRetry counts a retry that was decided now.
	CountRetry(now time.Duration)
	// MayStartRetry reports whether a retry that was decided earlier may be sent now, and if so counts it at this time instead.
	MayStartRetry(decided, now time.Duration) bool
	// Engine returns the limit for a newly listed engine.
	Engine(cores float64) EngineLimit
}

// Slowness estimates the slowness of engines from few answers, by pooling those of similar engines. Package decide/slowness
// implements it.
type Slowness interface {
	// Engine returns the estimate for a newly listed engine.
	Engine(location Location, kind KindName) EngineSlowness
}

// EngineSlowness estimates the slowness of one engine: its latency over the best latency, 1 or more.
type EngineSlowness interface {
	// Add adds the slowness of one answer.
	Add(now time.Duration, slowness float64)
	// Reset drops the engine's own answers, as its process has restarted.
	Reset()
	// Estimate returns the estimate, or 0 before any answer of any engine was seen.
	Estimate(now time.Duration) float64
}

// EngineLimit limits the work of one engine while it is cold, which means that its process has started recently.
type EngineLimit interface {
	// SetStart sets when the engine's process started, 0 for long ago.
	SetStart(startedAt time.Duration)
	// Cold reports whether the engine is cold.
	Cold(now time.Duration) bool
	// Allows reports whether a job of so much thread time may be sent. share is the fraction of all controllers that have
	// the engine in their subset.
	Allows(now, work time.Duration, share float64) bool
	// CountWork counts a job that was sent.
	CountWork(now, work time.Duration, share float64)
}

// Outcome is how an attempt ended.
type Outcome int

const (
	Done           Outcome = iota // the engine answered
	Errored                       // the engine answered with an error
	Refused                       // the engine refused the job, which did not run
	TimedOut                      // no answer before the timeout
	NoConnection                  // the engine could not be connected to, so the job did not run
	ConnectionLost                // the connection was lost before the answer, and the job may have run
	Recalled                      // cancelled by the controller
	NotSent                       // not sent in time, or Module.MayStart did not allow it
)

// String returns the outcome as it is written to logs and traces.
func (o Outcome) String() string {
	return [...]string{"done", "errored", "turned-away", "timed-out", "no-connection", "connection-lost",
		"recalled", "not-sent"}[o]
}

// ListKind is the kind of an event of the list of engines.
type ListKind int

const (
	ListChanges  ListKind = iota // engines that have changed
	ListComplete                 // the complete list
	ListInitial                  // a complete list known at the start, before discovery has answered
	ListFailed                   // a request for the list failed
)

// Health is the state of an engine in the list.
type Health int

const (
	Up       Health = iota // takes jobs
	Draining               // completes its jobs and takes no new ones
	Gone                   // removed from the list
)

func (h Health) String() string { return [...]string{"up", "draining", "gone"}[h] }

// Topic is the subject of a note that an engine sends while it runs a job.
type Topic int

const (
	Progress Topic = 1 + iota // the level is the fraction of the job that is done
	Spilling
	Waiting
)

// WaitsForLoad is the level of a Waiting note when a load holds the tables.
const WaitsForLoad = 2

// Repeat says whether a job that may have run may be sent again.
type Repeat int

const (
	Idempotent    Repeat = iota // at any time, to any engine
	Keyed                       // within Class.DedupWindow, to engines of Class.Group, which drop repeats by the job's key
	NonIdempotent               // never
)

// Group is the set of engines that drop repeats of a keyed job.
type Group int

const (
	GroupAll      Group = iota // all engines
	GroupLocation              // those in the location of the earlier attempts
	GroupCell                  // those in the cell of the earlier attempts
)

// Load is the load that an engine reports with an answer. Fields that were not reported are negative.
type Load struct {
	Util          float64
	Waiting       float64 // length of the engine's queue
	MemoryGranted float64 // share of the engine's memory that is granted to jobs; it may exceed 1
}

// Class has the settings of a class of jobs.
type Class struct {
	Name           ClassName
	LatencyTarget  time.Duration // an answer earns its full value until this long after arrival, plus the stretch
	TargetStretch  float64       // added to the latency target, times the job's thread time per thread
	Deadline       time.Duration // after arrival
	Value          float64       // of an answer before the latency target
	LateValue      float64       // of an answer after it; 0 if such an answer is worthless
	Repeat         Repeat
	Group          Group         // for Keyed
	DedupWindow    time.Duration // for Keyed: how long after the first attempt that may have run the job may be sent again
	Ordered        bool          // rule 5: jobs of one key run one after the other, in order of arrival
	Locations      []Location    // rule 6: the only ones allowed; empty for all
	Kinds          []KindName    // rule 6: the only ones allowed; empty for all
	Threads        float64       // threads that a job uses
	HoldsTables    bool          // a load, which holds its tables while it runs
	BlockedByLoads bool          // waits while a load holds one of its tables
}

// EngineKind is a type of machine that engines run on.
type EngineKind struct {
	Name     KindName
	Cores    float64
	MemoryMB float64
}

// Customer has a share of the fleet's jobs.
type Customer struct {
	Name          CustomerID
	JobsPerSecond float64 // jobs per second over all controllers, 0 for no limit
}

// Settings are the settings of a Controller, fixed at its start. A limit of zero is off, unless its comment says
// otherwise.
type Settings struct {
	Controllers      int // in the fleet
	Number           int // of this controller, from 0
	Location         Location
	Classes          []Class
	Kinds            []EngineKind
	Customers        []Customer    // read by Limits only, as are the settings of the retry budget and of cold engines
	OverShareValue   float64       // factor on the value of jobs beyond their customer's share
	ListOnRequest    bool          // discovery sends the list only on request
	MayRecall        bool          // attempts may be cancelled
	GrantsHeeded     bool          // engines heed memory grants
	PriorityHeeded   bool          // engines heed priorities
	GrantShare       float64       // largest grant, as a share of an engine's memory
	SwapsWhenFull    bool          // an engine out of memory swaps
	MaxAttempts      int           // attempts per job; 1 or less allows no retry
	MaxRetryAfter    time.Duration // longest delay that a rejected client is advised to wait; 0 advises none
	Tick             time.Duration // resolution of the clock
	StartCapacity    float64       // capacity of an engine as it starts, over its full one
	ColdPeriod       time.Duration // time after its start until an engine has its full capacity
	CollapseMultiple float64       // multiple of its capacity at which an engine collapses
	CollapsePeriod   time.Duration // time within which that much work has to arrive
	KeyQuietPeriod   time.Duration // delay before the next job of a key after an attempt that may still be running
	KeysQuietUntil   time.Duration // all keys rest until then, as attempts of an earlier module may still run, or 0
	BudgetWindow     time.Duration // period that the retry budget covers
	BudgetFloor      float64       // retries per window that are always allowed
	BudgetShare      float64       // further retries, as a share of the jobs in the window
	// Order sorts the engines into the order of preference in which this controller takes its subset, where each
	// controller of the fleet gets a subset of so many. It may reuse the slice. nil keeps the order.
	Order func(up []Candidate, size int) []Candidate
	// Limits and Slowness must be new, as their state belongs to one Controller.
	Limits   Limits
	Slowness Slowness
}

// Candidate is an engine that may be in a subset.
type Candidate struct {
	ID       EngineID
	Location Location
	Cores    float64
}

// sortCandidates calls Order, if it is set.
func (s *Settings) sortCandidates(up []Candidate, size int) []Candidate {
	if s.Order == nil {
		return up
	}
	return s.Order(up, size)
}
