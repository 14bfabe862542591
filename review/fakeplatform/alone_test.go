//go:build review

package fakeplatform

import (
	"net/http"
	"time"
)

// playAloneForGood: one worker is of a kind that jobs ask for. A small task that lasts runs there, its worker crashes
// once, soon after the start, and is back. Later, short tasks that need the kind come.
func playAloneForGood(s *system) error {
	s.fleet.special = 1
	if err := s.start(8, 48); err != nil {
		return err
	}
	serving := &job{
		id: jobID(1), prefix: "/pufi791/", count: 1, label: specialLabel,
		needs: taskNeeds{resources: resources{CPU: 2000, MemoryMB: 1024, GPUs: 1}, work: 2 * time.Second, lasts: true},
	}
	if s.submit(s.nextNode(), serving) != http.StatusOK {
		return errSetup
	}
	w := s.waitStarted(serving)
	if w == nil {
		return errSetup
	}
	if s.trouble {
		time.Sleep(300 * time.Millisecond)
		s.record.line("trouble", "%s crashes", w.id)
		w.crash()
		time.Sleep(2 * time.Second)
		w.begin()
		s.record.line("trouble", "%s is back under its id, born %d", w.id, w.life.born)
	}
	time.Sleep(15 * time.Second)
	if s.waitStarted(serving) == nil {
		return errSetup
	}
	short := taskNeeds{resources: resources{CPU: 7500, MemoryMB: 4096, GPUs: 1}, work: 2500 * time.Millisecond}
	var jobs []*job
	for number := 2; number <= 4; number++ {
		j := &job{id: jobID(number), prefix: "/lohu930/", count: 1, label: specialLabel, needs: short}
		if s.submit(s.nextNode(), j) != http.StatusOK {
			return errSetup
		}
		jobs = append(jobs, j)
	}
	time.Sleep(20 * time.Second)
	return s.judgeLost(jobs)
}
