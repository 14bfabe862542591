//go:build review

package main

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// gangTimeout is how long a member waits for the others.
const gangTimeout = 3 * time.Second

// gangs holds the runs of gangs: their members work only together.
type gangs struct {
	mutex sync.Mutex
	sizes map[string]int
	runs  map[string]*gangRun
}

// gangRun is one run of a gang.
type gangRun struct {
	members map[*run]*worker
	working bool
	over    bool
}

func newGangs() *gangs { return &gangs{sizes: map[string]int{}, runs: map[string]*gangRun{}} }

// register tells that all tasks of a job with one step are a gang.
func (g *gangs) register(id string, size int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.sizes[id] = size
}

// gangKey names the run of a gang: the step's name and the number of the run.
func gangKey(r *run) string {
	return r.Task[:strings.LastIndexByte(r.Task, '.')] + "#" + strconv.Itoa(r.Run)
}

// join adds a run. It returns false if its task is of no gang. The worker's mutex must be held.
func (g *gangs) join(w *worker, r *run) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	size := g.sizes[jobOf(r.Task)]
	if size == 0 {
		return false
	}
	present := g.runs[gangKey(r)]
	if present == nil {
		present = &gangRun{members: map[*run]*worker{}}
		g.runs[gangKey(r)] = present
	}
	present.members[r] = w
	if len(present.members) == size && !present.over {
		present.working = true
		time.AfterFunc(r.work, func() { g.endAll(present, "done") })
		return true
	}
	time.AfterFunc(gangTimeout, func() {
		g.mutex.Lock()
		waits := !present.working || present.over
		g.mutex.Unlock()
		if waits {
			w.finishRun(r, "alone")
		}
	})
	return true
}

// leave takes note of the end of a member. The others end broken.
func (g *gangs) leave(r *run) {
	g.mutex.Lock()
	present := g.runs[gangKey(r)]
	if present == nil || present.over {
		g.mutex.Unlock()
		return
	}
	g.mutex.Unlock()
	go g.endAll(present, "broken")
}

// endAll ends all members that have not ended.
func (g *gangs) endAll(present *gangRun, how string) {
	g.mutex.Lock()
	if present.over {
		g.mutex.Unlock()
		return
	}
	present.over = true
	members := make(map[*run]*worker, len(present.members))
	for r, w := range present.members {
		members[r] = w
	}
	g.mutex.Unlock()
	for r, w := range members {
		w.finishRun(r, how)
	}
}
