package control

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/schedule"
)

// Mechanisms can be turned off one at a time, so that a test can show that the
// checker catches what each of them prevents. The zero value has all of them on.
type Mechanisms struct {
	WithoutWriterFencing         bool
	WithoutOperationMarkers      bool
	WithoutGangCommit            bool
	WithoutConfigurationVersions bool
	WithoutWorkerLeaving         bool
	WithoutPlannedStop           bool
	WithoutSingleDispatch        bool
	WithoutLeaseClock            bool
}

// Options are a node's own settings.
type Options struct {
	Node        string
	Incarnation string
	Zone        string
	PeerAddress string
	HTTPAddress string
	// RegionDomains makes a whole region one scheduling domain, in place of a zone.
	RegionDomains bool
	Policy        schedule.Policy
	Timing        Timing
	Mechanisms    Mechanisms
}

// Timing holds every period and limit of the control state.
type Timing struct {
	// Watch is the pause between two reads of the control rows.
	Watch time.Duration
	// Heartbeat is the pause between two writes of the member row.
	Heartbeat time.Duration
	// MemberTimeout is how long a member counts as alive after its last change.
	MemberTimeout time.Duration
	// Lease is how long the lease of a domain lasts; Renewal is the pause between
	// renewals and Margin how long before its end the holder stops acting.
	Lease   time.Duration
	Renewal time.Duration
	Margin  time.Duration
	// MachineList is the pause between two reads of the machine list.
	MachineList time.Duration
	// WorkerLease is how long members run without a renewal, WorkerRenewal the
	// pause between renewals.
	WorkerLease   time.Duration
	WorkerRenewal time.Duration
	// Reservation is how long a worker keeps capacity for a gang that is starting.
	Reservation time.Duration
	// OrderTimeout is how long an order to a worker may take to be answered.
	OrderTimeout time.Duration
	// UrgentGrace is how long work that gives way to an urgent job may save itself
	// before it is stopped.
	UrgentGrace time.Duration
	// RetryBase and RetryMax bound the pause before a failed call is repeated.
	RetryBase time.Duration
	RetryMax  time.Duration
	// ConfigurationAge is how old a node's configuration may be before it stops
	// answering tenants.
	ConfigurationAge time.Duration
	// DrainGrace is how long a stopping node stays in service after it said so.
	DrainGrace time.Duration
	// Keep is how long an ended job stays in its owner's memory.
	Keep time.Duration
}

// DefaultTiming suits sites of some hundred workers.
func DefaultTiming() Timing {
	return Timing{
		Watch: time.Second, Heartbeat: 3 * time.Second, MemberTimeout: 10 * time.Second,
		Lease: 9 * time.Second, Renewal: 2 * time.Second, Margin: 2 * time.Second,
		MachineList: 2 * time.Second, WorkerLease: 60 * time.Second, WorkerRenewal: 15 * time.Second,
		Reservation: 10 * time.Second, OrderTimeout: 5 * time.Second, UrgentGrace: 2 * time.Second,
		RetryBase: 200 * time.Millisecond, RetryMax: 5 * time.Second,
		ConfigurationAge: 8 * time.Second, DrainGrace: 2 * time.Second, Keep: 10 * time.Minute,
	}
}
