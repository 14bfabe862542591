package node

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/uptime"
)

// suspensionCheckInterval is the interval between checks for a suspension of the machine. The
// checks also find suspensions that other clock readings miss because the time of day was set
// meanwhile.
const suspensionCheckInterval = time.Second

// watchSuspensions logs each suspension of the machine after it ends.
func (n *Node) watchSuspensions() {
	before := uptime.Suspended()
	n.dependencies.Loop.After(suspensionCheckInterval, func() {
		uptime.Refresh()
		if suspended := uptime.Suspended() - before; suspended >= minLoggedSuspension {
			n.dependencies.Recorder.LogEvent("machine resumed from suspension", "for_ms", suspended.Milliseconds())
		}
		n.watchSuspensions()
	})
}

// minLoggedSuspension is the shortest suspension that is logged.
const minLoggedSuspension = 100 * time.Millisecond
