package control

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wheatroad/wheatroad/internal/blackboard"
	"github.com/wheatroad/wheatroad/internal/machines"
	"github.com/wheatroad/wheatroad/internal/store"
)

// heartbeat writes the node's own member row. A lost answer does no harm: the
// next beat replaces the row.
func (n *Node) heartbeat(done func()) {
	n.beat++
	state := blackboard.MemberReady
	if n.board.Draining {
		state = blackboard.MemberDraining
	}
	row := blackboard.Member{
		Node: n.options.Node, Incarnation: n.options.Incarnation,
		PeerAddress: n.options.PeerAddress, HTTPAddress: n.options.HTTPAddress,
		Zone: n.options.Zone, State: state,
		Configuration: n.board.Configuration.Version, HeartbeatCount: n.beat,
	}
	transaction := store.Transaction{Writes: append([]store.Write{write(memberKey(n.options.Node), row)}, n.forgottenMembers()...)}
	n.ports.Commit(transaction, func(_ store.CommitResult, err error) {
		if err != nil {
			n.record.Count(CounterTable, "heartbeat_failed")
		}
		done()
	})
}

// forgetFactor times the member timeout is how long a dead member's row is kept.
const forgetFactor = 30

// forgottenMembers deletes the rows of members that were replaced long ago.
func (n *Node) forgottenMembers() []store.Write {
	var writes []store.Write
	limit := forgetFactor * n.options.Timing.MemberTimeout
	for _, name := range sortedKeys(n.board.Members) {
		if n.loop.Now().Sub(n.board.Members[name].ChangedAt) > limit && !n.isLate() {
			writes = append(writes, store.Write{Key: memberKey(name), Delete: true})
		}
	}
	return writes
}

// isLate reports whether the board itself is out of date, so that the age of rows
// says nothing about their writers.
func (n *Node) isLate() bool {
	return n.loop.Now().Sub(n.board.UpdatedAt) > n.options.Timing.MemberTimeout
}

// liveMembers lists the members whose rows changed lately, by name.
func (n *Node) liveMembers() []blackboard.Member {
	var live []blackboard.Member
	for _, name := range sortedKeys(n.board.Members) {
		member := n.board.Members[name]
		if n.board.UpdatedAt.Sub(member.ChangedAt) <= n.options.Timing.MemberTimeout {
			live = append(live, member.Value)
		}
	}
	return live
}

// proposedOwners spreads the domains over the ready members. Each domain goes to
// the member with the highest hash for the pair that still has room, where the
// room is an even share rounded up. The lease, not this, decides who owns it.
func proposedOwners(domains []string, members []blackboard.Member) map[string]string {
	var ready []string
	for _, member := range members {
		if member.State == blackboard.MemberReady {
			ready = append(ready, member.Node)
		}
	}
	proposed := map[string]string{}
	if len(ready) == 0 {
		return proposed
	}
	room := (len(domains) + len(ready) - 1) / len(ready)
	load := map[string]int{}
	for _, domain := range domains {
		best := ""
		var bestHash uint64
		for _, node := range ready {
			h := xxhash.Sum64String(domain + "\x00" + node)
			if load[node] < room && (best == "" || h > bestHash) {
				best, bestHash = node, h
			}
		}
		proposed[domain] = best
		load[best]++
	}
	return proposed
}

func hash(text string, serial int64) uint64 {
	digest := xxhash.New()
	// Writing to a hash never fails.
	_, _ = digest.WriteString(text)
	_, _ = digest.Write([]byte{byte(serial), byte(serial >> 8), byte(serial >> 16), byte(serial >> 24)})
	return digest.Sum64()
}

// readMachines brings the board's copy of the machine list up to date.
func (n *Node) readMachines(done func()) {
	n.ports.Machines(n.machineCursor, func(update machines.Update, err error) {
		defer done()
		if err != nil {
			n.record.Count(CounterRetries, "machine_list")
			return
		}
		n.machineCursor = update.Cursor
		for _, machine := range update.Machines {
			n.board.Machines[machine.Name] = machine
		}
		if len(update.Machines) == 0 {
			return
		}
		n.byDomain = nil
		for _, name := range sortedKeys(n.domains) {
			n.domains[name].updateMachines(update.Machines)
		}
		n.considerOwnership()
		n.publish()
	})
}
