package node

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/uptime"
)

// suspensionCheck is the pause between two looks whether the machine was suspended while its
// time of day was set, which hides it from the looks that come with each reading of the time.
const suspensionCheck = time.Second

// watchSuspensions tells of each suspension of the machine once it is over.
func (n *Node) watchSuspensions() {
	known := uptime.Suspended()
	n.edges.Loop.After(suspensionCheck, func() {
		uptime.Look()
		if suspended := uptime.Suspended() - known; suspended >= suspensionLogged {
			n.edges.Record.Decided("machine was suspended", "for_ms", suspended.Milliseconds())
		}
		n.watchSuspensions()
	})
}

// suspensionLogged is the least suspension that is worth a line.
const suspensionLogged = 100 * time.Millisecond
