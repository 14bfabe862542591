package node

import (
	"context"

	"github.com/wheatroad/wheatroad/internal/mechanism"
	"github.com/wheatroad/wheatroad/internal/rows"
)

// acceptedNotice informs a pool's owner of a job that another node has accepted.
type acceptedNotice struct {
	Pool string   `json:"pool"`
	Row  rows.Row `json:"row"`
}

// announce sends the stored row of an accepted job to the pool's owner and does not wait for the
// reply. If the notice is lost, the owner's feed still delivers the row. announce may be called
// from any goroutine.
func (n *Node) announce(poolName string, row rows.Row) {
	if n.options.DisabledMechanisms[mechanism.Announcements] {
		return
	}
	current := n.snapshot.Load()
	if current.owned[poolName] != nil {
		n.dependencies.Loop.Post(func() { n.handleAnnouncedJob(poolName, row) })
		return
	}
	lease := current.leases[poolName]
	if lease.Address == "" || lease.Owner == n.options.Name {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(n.ports.ctx, pingTimeout)
		defer cancel()
		result := "told"
		if _, err := n.call(ctx, lease.Address, methodAccepted, acceptedNotice{Pool: poolName, Row: row}); err != nil {
			result = "lost"
		}
		n.dependencies.Recorder.Count("announcements", result)
	}()
}

// handleAnnouncedJob passes a row to the pool if this node owns it.
func (n *Node) handleAnnouncedJob(poolName string, row rows.Row) {
	if p := n.owned[poolName]; p != nil {
		p.HandleJobAnnouncement(row)
	}
}

// serveAccepted handles another node's notice.
func (n *Node) serveAccepted(notice acceptedNotice) (struct{}, error) {
	n.dependencies.Loop.Post(func() { n.handleAnnouncedJob(notice.Pool, notice.Row) })
	return struct{}{}, nil
}
