//go:build review

package drill

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	started time.Time
	lines   []string
}

func newRecord() *record { return &record{started: time.Now()} }

func (r *record) add(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f s  %s", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	r.lines = append(r.lines, line)
}

func (r *record) write(path string) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
