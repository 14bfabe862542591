//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// began is when the case began. The record tells times from then on.
var began = time.Now()

// recorder writes the record of a case.
type recorder struct {
	mutex sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, out: bufio.NewWriter(file)}, nil
}

// line writes a line with the time in seconds.
func (r *recorder) line(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *recorder) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// runEvent is the start or the end of a run.
type runEvent struct {
	at     time.Time
	task   string
	run    int
	worker string
	born   int64
	// how is empty for a start.
	how string
	// noted is when the end was taken note of; zero if it was not.
	noted time.Time
}

// runLog holds what the workers have run, in the order of time.
type runLog struct {
	mutex  sync.Mutex
	events []*runEvent
	needs  map[string]resources
	record *recorder
}

func newRunLog(record *recorder) *runLog {
	return &runLog{needs: map[string]resources{}, record: record}
}

// jobOf returns the job in a task's name.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

// register tells what each task of a job needs.
func (l *runLog) register(id string, each resources) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.needs[id] = each
}

func (l *runLog) requirements(task string) resources {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.needs[jobOf(task)]
}

func (l *runLog) add(event *runEvent) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.events = append(l.events, event)
	if event.how == "" {
		l.record.line("run starts: %s run %d on %s (born %d)", event.task, event.run, event.worker, event.born)
		return
	}
	l.record.line("run ends %s: %s run %d on %s (born %d)", event.how, event.task, event.run, event.worker, event.born)
}

func (l *runLog) started(w *worker, r *run) {
	l.add(&runEvent{at: time.Now(), task: r.Task, run: r.Run, worker: w.id, born: r.life.born})
}

func (l *runLog) ended(w *worker, r *run, how string) {
	l.add(&runEvent{at: time.Now(), task: r.Task, run: r.Run, worker: w.id, born: r.life.born, how: how})
}

// noted records that an end was taken note of.
func (l *runLog) noted(w *worker, of *life, e end) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, event := range l.events {
		if event.how != "" && event.task == e.task && event.run == e.run && event.worker == w.id && event.born == of.born {
			event.noted = time.Now()
		}
	}
	l.record.line("end %d of %s run %d on %s is taken note of", e.number, e.task, e.run, w.id)
}

// of returns copies of the events of a job.
func (l *runLog) of(id string) []runEvent {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []runEvent
	for _, event := range l.events {
		if jobOf(event.task) == id {
			found = append(found, *event)
		}
	}
	return found
}

// starts counts the starts of a job.
func (l *runLog) starts(id string) int {
	count := 0
	for _, event := range l.of(id) {
		if event.how == "" {
			count++
		}
	}
	return count
}
