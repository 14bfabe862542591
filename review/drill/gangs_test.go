//go:build review

package drill

import (
	"fmt"
	"time"
)

const (
	gangTimeout = 3 * time.Second
	// breakTime is how long the members of a gang need to notice that one of them has ended.
	breakTime = 10 * time.Millisecond
)

// gangMember is a member of a gang on a worker.
type gangMember struct {
	worker *worker
	life   *incarnation
	run    *activeRun
}

// end lists the end of the member, unless it has ended already.
func (m gangMember) end(how string) {
	m.worker.mutex.Lock()
	defer m.worker.mutex.Unlock()
	if m.worker.up && m.worker.life == m.life && (how != "done" || !m.run.stopping) {
		m.worker.end(m.run, how)
	}
}

// gangKey names one run of a gang.
func gangKey(task string, run int) string {
	last := len(task) - 1
	for task[last] != '.' {
		last--
	}
	return fmt.Sprintf("%s.%d", task[:last], run)
}

// joinGang adds a member to its gang. The members work together once all are present.
func (w *world) joinGang(member gangMember, size int) {
	key := gangKey(member.run.task, member.run.run)
	w.mutex.Lock()
	w.gangs[key] = append(w.gangs[key], member)
	members := w.gangs[key]
	w.mutex.Unlock()
	if len(members) < size {
		time.AfterFunc(gangTimeout, func() {
			if w.gangSize(key) < size {
				member.end("alone")
			}
		})
		return
	}
	time.AfterFunc(member.run.work.duration, func() { endAll(members, "done") })
}

func (w *world) gangSize(key string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.gangs[key])
}

// breakGang ends the other members of a gang some time after one has ended.
func (w *world) breakGang(task string, run int) {
	key := gangKey(task, run)
	time.AfterFunc(breakTime, func() {
		w.mutex.Lock()
		members := append([]gangMember(nil), w.gangs[key]...)
		w.mutex.Unlock()
		endAll(members, "broken")
	})
}

func endAll(members []gangMember, how string) {
	for _, member := range members {
		member.end(how)
	}
}
