//go:build review

package rowsite

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the account of one play: what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// line writes one line with the seconds since the play began.
func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// verdict writes a line to the record and to standard output.
func (r *record) verdict(format string, values ...any) {
	r.line(format, values...)
	fmt.Printf(format+"\n", values...)
}
