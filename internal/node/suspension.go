package node

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/uptime"
)

// suspensionCheckInterval is the pause between two looks whether the machine was suspended while its
// time of day was set, which hides it from the looks that come with each reading of the time.
const suspensionCheckInterval = time.Second

// watchSuspensions tells of each suspension of the machine once it is over.
func (n *Node) watchSuspensions() {
	before := uptime.Suspended()
	n.edges.Loop.After(suspensionCheckInterval, func() {
		uptime.Look()
		if suspended := uptime.Suspended() - before; suspended >= minLoggedSuspension {
			n.edges.Record.Decided("machine was suspended", "for_ms", suspended.Milliseconds())
		}
		n.watchSuspensions()
	})
}

// minLoggedSuspension is the least suspension that is worth a line.
const minLoggedSuspension = 100 * time.Millisecond
