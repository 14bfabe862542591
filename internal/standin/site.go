package standin

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/machines"
	"github.com/wheatroad/wheatroad/internal/worker"
)

// Layout describes the machines of a simulated site.
type Layout struct {
	Region         string
	Zone           string
	Racks          int
	WorkersPerRack int
	Accelerators   int
	CPUs           int
	MemoryGB       int
	Slots          int
}

// Site simulates a platform: table, objects, machine list, workers and the feed of their reports.
// Callers pass the current time. It is not safe for concurrent use.
type Site struct {
	Table *Table
	// Objects contains the content of the object store by name.
	Objects map[string][]byte
	workers map[string]*SimulatedWorker
	names   []string
	// ListLag is the delay until a change appears in the machine list, and ReportLag until a
	// report appears in the feed.
	ListLag    time.Duration
	ReportLag  time.Duration
	list       []listEntry
	listCursor int64
	feeds      map[string]*feed
	history    []Execution
	now        time.Time
	// RecordHistory records executions for the checker.
	RecordHistory bool
}

type listEntry struct {
	machine   machines.Machine
	cursor    int64
	visibleAt time.Time
}

// feed contains the reports of one domain. Entries before first were dropped.
type feed struct {
	first   int64
	entries []feedEntry
}

type feedEntry struct {
	report    worker.Report
	visibleAt time.Time
}

// maxFeedEntries bounds the number of reports that a feed keeps.
const maxFeedEntries = 100000

// NewSite returns a site whose workers are all live.
func NewSite(layouts []Layout, address string, now time.Time) *Site {
	s := &Site{Table: NewTable(), Objects: map[string][]byte{}, workers: map[string]*SimulatedWorker{}, feeds: map[string]*feed{}, now: now, RecordHistory: true}
	racksBefore := map[string]int{}
	for _, layout := range layouts {
		zone := layout.Region + "/" + layout.Zone
		for rack := range layout.Racks {
			for number := range layout.WorkersPerRack {
				s.addWorker(layout.machine(racksBefore[zone]+rack, number, address))
			}
		}
		racksBefore[zone] += layout.Racks
	}
	return s
}

func (l *Layout) machine(rack, number int, address string) machines.Machine {
	rackName := "rack" + twoDigits(rack)
	return machines.Machine{
		Name:    l.Region + "/" + l.Zone + "/" + rackName + "/worker" + twoDigits(number),
		Address: address, Region: l.Region, Zone: l.Zone, Rack: rackName, Status: machines.Live,
		Accelerators: l.Accelerators, CPUs: l.CPUs, MemoryGB: l.MemoryGB, Slots: l.Slots,
	}
}

func twoDigits(n int) string { return fmt.Sprintf("%02d", n) }

func (s *Site) addWorker(machine machines.Machine) {
	w := NewWorker(machine)
	w.Report = s.report
	w.Output = func(name string, content []byte) { s.Objects[name] = content }
	w.Record = func(execution Execution) {
		if s.RecordHistory {
			s.history = append(s.history, execution)
		}
	}
	s.workers[machine.Name] = w
	s.names = append(s.names, machine.Name)
	s.appendListEntry(machine, s.now)
}

func (s *Site) appendListEntry(machine machines.Machine, visibleAt time.Time) {
	s.listCursor++
	s.list = append(s.list, listEntry{machine: machine, cursor: s.listCursor, visibleAt: visibleAt})
}

func (s *Site) report(domain string, report worker.Report) {
	f := s.feed(domain)
	f.entries = append(f.entries, feedEntry{report: report, visibleAt: s.now.Add(s.ReportLag)})
	if len(f.entries) > 2*maxFeedEntries {
		dropped := len(f.entries) - maxFeedEntries
		f.entries = slices.Clone(f.entries[dropped:])
		f.first += int64(dropped)
	}
}

func (s *Site) feed(domain string) *feed {
	f, ok := s.feeds[domain]
	if !ok {
		f = &feed{}
		s.feeds[domain] = f
	}
	return f
}

// Worker returns a worker by name, or nil.
func (s *Site) Worker(name string) *SimulatedWorker { return s.workers[name] }

// Names returns the names of all workers.
func (s *Site) Names() []string { return s.names }

// Advance processes all events of all workers up to now.
func (s *Site) Advance(now time.Time) {
	s.now = now
	for _, name := range s.names {
		s.workers[name].Advance(now)
	}
}

// AdvanceWorker processes all events of one worker up to now.
func (s *Site) AdvanceWorker(now time.Time, name string) {
	s.now = now
	s.workers[name].Advance(now)
}

// Order delivers an order to a worker.
func (s *Site) Order(now time.Time, name string, order worker.Order) (worker.Reply, bool) {
	s.now = now
	w, ok := s.workers[name]
	if !ok {
		return worker.Reply{}, false
	}
	return w.Handle(now, order), true
}

// SetStatus changes the behaviour of a machine immediately and its status in the machine list
// after ListLag.
func (s *Site) SetStatus(now time.Time, name string, status machines.Status) bool {
	s.now = now
	w, ok := s.workers[name]
	if !ok {
		return false
	}
	machine := w.Machine()
	machine.Status = status
	w.SetLeaving(status != machines.Live)
	s.appendListEntry(machine, now.Add(s.ListLag))
	return true
}

// Changes returns the visible entries of the machine list after a cursor, in the order of their
// creation.
func (s *Site) Changes(now time.Time, cursor int64) machines.Update {
	update := machines.Update{Cursor: cursor}
	start, _ := slices.BinarySearchFunc(s.list, cursor+1, func(e listEntry, c int64) int { return int(e.cursor - c) })
	for _, entry := range s.list[start:] {
		if entry.visibleAt.After(now) {
			break
		}
		update.Machines = append(update.Machines, entry.machine)
		update.Cursor = entry.cursor
	}
	return update
}

// Reports returns the visible reports of a domain after a cursor. A negative cursor returns only
// the end of the feed.
func (s *Site) Reports(now time.Time, domain string, cursor int64) worker.Reports {
	f := s.feed(domain)
	end := f.first + int64(len(f.entries))
	if cursor < 0 {
		for end > f.first && f.entries[end-f.first-1].visibleAt.After(now) {
			end--
		}
		return worker.Reports{Cursor: end}
	}
	reports := worker.Reports{Cursor: max(cursor, f.first)}
	for reports.Cursor < end {
		entry := f.entries[reports.Cursor-f.first]
		if entry.visibleAt.After(now) {
			break
		}
		reports.Reports = append(reports.Reports, entry.report)
		reports.Cursor++
	}
	return reports
}

// History returns the starts and ends of all attempts.
func (s *Site) History() []Execution { return s.history }

// NextEvent returns the time of the next event of any worker.
func (s *Site) NextEvent() (time.Time, bool) {
	var first time.Time
	found := false
	for _, name := range s.names {
		at, ok := s.workers[name].NextEvent()
		if ok && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	return first, found
}

// RunningTasks returns the number of occupied slots on the workers whose names have the prefix.
func (s *Site) RunningTasks(prefix string) int {
	count := 0
	for _, name := range s.names {
		if strings.HasPrefix(name, prefix) {
			count += s.workers[name].slots
		}
	}
	return count
}
