// Package invariant checks conditions that must always hold while the program runs. A violation is counted by name and
// reported with details. It ends the process only where that is enabled, in tests and in the soak. In production the program
// continues, and the code next to the check determines what it does.
package invariant

import (
	"fmt"
	"maps"
	"os"
	"sync"
)

// Name identifies an invariant in logs and metrics.
type Name string

// The invariants of the system.
const (
	// OneFinalAnswer requires that a request in flight is ended exactly once.
	OneFinalAnswer Name = "one_final_answer"
	// NoRetryAfterExecution requires that a non-idempotent request which may have been executed is not sent again.
	NoRetryAfterExecution Name = "no_repeat_after_run"
	// AttemptsWithinRetries requires that a part is sent to at most as many searchers as its route allows.
	AttemptsWithinRetries Name = "tries_within_retries"
	// AttemptsWithinBudget requires that retries are within this mixer's share of the retry budget.
	AttemptsWithinBudget Name = "tries_within_budget"
	// DeadlineWithinClients requires that no searcher gets more time than the client has left.
	DeadlineWithinClients Name = "deadline_within_clients"
	// ReadySearcherChosen requires that a searcher known to be draining or removed is not chosen.
	ReadySearcherChosen Name = "ready_searcher_chosen"
	// DispatchWithinService requires that a request is sent to searchers of the service that it is for.
	DispatchWithinService Name = "dispatch_within_service"
	// OneDispatchPerConnection requires that a connection carries no two dispatches of one request, whose responses could not be
	// told apart.
	OneDispatchPerConnection Name = "one_dispatch_per_connection"
	// InFlightBalance requires that the requests in flight are those accepted less those ended.
	InFlightBalance Name = "in_hand_balance"
	// DispatchEnds requires that no attempt is outstanding long after its deadline.
	DispatchEnds Name = "dispatch_ends"
	// AnsweredBeforeExit requires that a proxy that is stopped has given each request its final answer before it ends.
	AnsweredBeforeExit Name = "answered_before_exit"
	// VersionMonotonic requires that the version of the configuration in force never decreases, neither within an incarnation
	// nor across a restart from disk.
	VersionMonotonic Name = "version_rises"
	// OnePrimary requires that an epoch has one primary and that the control state is consistent.
	OnePrimary Name = "one_primary"
	// LeaveRecorded requires that a leave which is acknowledged to a searcher is recorded.
	LeaveRecorded Name = "leave_recorded"
)

// FatalVariable is the environment variable whose value "fatal" makes violations end the process.
const FatalVariable = "PEATHOLLOW_INVARIANTS"

var state struct {
	sync.Mutex
	counts map[Name]uint64
	report func(Name, string)
	fatal  bool
}

func init() {
	state.counts = map[Name]uint64{}
	state.fatal = os.Getenv(FatalVariable) == "fatal"
}

// OnViolation sets the function that violations are reported to. They are counted in any case.
func OnViolation(report func(Name, string)) {
	state.Lock()
	defer state.Unlock()
	state.report = report
}

// SetFatal sets whether violations panic, and returns the previous setting.
func SetFatal(on bool) (previous bool) {
	state.Lock()
	defer state.Unlock()
	previous, state.fatal = state.fatal, on
	return previous
}

// Check counts and reports a violation unless the invariant holds. The arguments are evaluated even where it holds: on a hot
// path, test the condition first and call Violated.
func Check(name Name, holds bool, format string, args ...any) {
	if !holds {
		Violated(name, format, args...)
	}
}

// Violated counts a violation and reports it.
func Violated(name Name, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	state.Lock()
	state.counts[name]++
	report, fatal := state.report, state.fatal
	state.Unlock()
	if report != nil {
		report(name, detail)
	}
	if fatal {
		panic(Panic{name, detail})
	}
}

// Panic is the value that a fatal violation panics with.
type Panic struct {
	Name   Name
	Detail string
}

// Error returns the invariant's name and the details of the violation.
func (p Panic) Error() string { return "invariant " + string(p.Name) + ": " + p.Detail }

// Counts returns how often each invariant was violated, without those that never were.
func Counts() map[Name]uint64 {
	state.Lock()
	defer state.Unlock()
	return maps.Clone(state.counts)
}
