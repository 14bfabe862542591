//go:build review

package fakeplatform

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run.
type record struct {
	mutex  sync.Mutex
	began  time.Time
	file   *os.File
	broken []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file}, nil
}

// line writes one line: seconds since the start, who, what.
func (r *record) line(who, format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-10s %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, values...))
}

// violation records that a rule was broken.
func (r *record) violation(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.line("BROKEN", "%s", text)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.broken = append(r.broken, text)
}

func (r *record) violations() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.broken)
}
