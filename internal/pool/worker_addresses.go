package pool

import (
	"time"

	"github.com/wheatroad/wheatroad/internal/fleet"
)

// A worker's address is known from its row or from a progress row. Another process may have written the
// worker's row, so such an address is only a hint until the worker has answered a call there. If another
// worker answers at an address, the known worker has ended only if it has itself answered this owner, or
// an earlier one, at that address before: no two workers have one address at a time. Otherwise the
// address is wrong, and the worker's runs may go on elsewhere until its lease has expired.

// workerCall says where a call to a worker was sent, when, and with which fencing token.
type workerCall struct {
	address string
	sentAt  time.Time
	token   int64
}

// callTo returns a call to a worker's present address that is sent now.
func (p *Pool) callTo(w *worker) workerCall {
	w.called = true
	return workerCall{address: w.Address, sentAt: p.loop.Now(), token: w.token}
}

// confirmAddress records that the worker has answered a call. The called address replaces one at which
// the worker has never answered. A worker that was lost at the same address has then been replaced.
func (p *Pool) confirmAddress(w *worker, call workerCall) {
	if !w.addressConfirmed() {
		w.setAddress(call.address)
		p.lossTracker.MarkReplaced(w.Address, w.Incarnation.String())
	}
	if call.address == w.Address {
		w.addressConfirmedAt = p.loop.Now()
	}
}

// addressConfirmed reports whether the worker has answered this owner at its present address.
func (w *worker) addressConfirmed() bool { return !w.addressConfirmedAt.IsZero() }

// setAddress sets the address of the next calls to the worker.
func (w *worker) setAddress(address string) {
	if address != w.Address {
		w.Address = address
		w.addressConfirmedAt = time.Time{}
	}
}

// takeAddressFromRow sets the worker's address to that of its row. An address that the worker had without
// a row is that of a progress row, and remains known.
func (p *Pool) takeAddressFromRow(w *worker, address string) {
	former := w.Address
	if former != "" && former != address {
		p.record.LogEvent("worker address changed", "worker", w.ID, "born", w.StartMillis, "address", address, "former", former,
			"contacted", w.contacted, "runs", len(w.members))
	}
	w.setAddress(address)
	if !w.hasRow {
		w.addAddress(former)
	}
}

// handleOtherInstance handles the answer to a call that another worker is at the called address. It
// returns true if the known worker has ended.
func (p *Pool) handleOtherInstance(w *worker, call workerCall) bool {
	switch {
	case p.workers[w.ID] != w:
		// The answer concerns an incarnation that the owner has replaced since.
		return true
	case p.options.DisabledSafeguards.AddressConfirmation:
	case call.address != w.Address, call.sentAt.Before(w.addressConfirmedAt):
		// The answer concerns a former address, or is older than the worker's own answer.
		p.record.Count("refusals", "worker_refusal_stale")
		return false
	case !w.addressConfirmed() && !p.answeredEarlierOwnerAt(w, call.address):
		p.rejectAddress(w)
		return false
	}
	p.handleWorkerReplaced(w, "another instance responds")
	return true
}

// rejectAddress handles an address at which another worker answers and the known worker has never
// answered. The row that names the address is false, so nothing that it says is believed.
func (p *Pool) rejectAddress(w *worker) {
	p.record.Count("refusals", "worker_address_refuted")
	p.record.LogEvent("worker address refuted", "worker", w.ID, "born", w.StartMillis, "address", w.Address, "runs", len(w.members))
	w.setAddress(w.fallbackAddress)
	w.fallbackAddress = ""
	w.discardClaimedStart()
	p.suspendPlacement(w.ID)
	if p.workers[w.ID] == w {
		p.enqueueFirstContact(w)
	}
}

// tryFallbackAddress makes the next call to a worker that has never answered this owner go to the
// worker's other known address, if there is one.
func (w *worker) tryFallbackAddress() {
	if !w.addressConfirmed() && w.fallbackAddress != "" {
		w.Address, w.fallbackAddress = w.fallbackAddress, w.Address
	}
}

// addAddress records another address of a worker that has never answered this owner.
func (w *worker) addAddress(address string) {
	switch {
	case address == "" || address == w.Address || w.addressConfirmed():
	case w.Address == "":
		w.setAddress(address)
	default:
		w.fallbackAddress = address
	}
}

// namesOtherAddress reports whether a row names another address than the one at which the worker has
// answered.
func (p *Pool) namesOtherAddress(w *worker, described *fleet.Worker) bool {
	return w.addressConfirmed() && described.Address != w.Address && !p.options.DisabledSafeguards.AddressConfirmation
}

// discardClaimedStart forgets a start time that only the worker's row has named. The runs that an
// earlier owner knew of are in the incarnation that the progress rows name.
func (w *worker) discardClaimedStart() {
	if !w.startClaimed {
		return
	}
	w.StartMillis, w.startClaimed = 0, false
	for _, m := range w.members {
		w.StartMillis = max(w.StartMillis, m.formerIncarnation.StartMillis)
	}
	w.returnMembers()
}

// returnMembers corrects members that seemed to be of a former incarnation of the worker, since the
// worker's row was false, but are of the present one.
func (w *worker) returnMembers() {
	for _, m := range w.members {
		if m.formerIncarnation.ID != "" && m.formerIncarnation == w.Incarnation {
			m.formerIncarnation, m.confirmedToEarlierOwner = fleet.Incarnation{}, true
		}
	}
}
