//go:build review

package drill

import (
	"io"
	"net/http"
	"time"
)

const instanceHeader = "Wheatroad-Expected-Instance"

// proxy stands before a worker. It passes orders on, at once or late. A late order gets no answer.
func (w *worker) proxy() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		path, instance := request.URL.Path, request.Header.Get(instanceHeader)
		if delay := w.delay(path, body); delay > 0 {
			time.AfterFunc(delay, func() { w.deliverLate(path, instance, body) })
			<-request.Context().Done()
			panic(http.ErrAbortHandler)
		}
		answer, answered := w.handle(path, instance, body, request.Context().Done())
		if !answered {
			panic(http.ErrAbortHandler)
		}
		writeJSON(writer, answer.status, answer.body)
	})
}

// setLate sets how much later than sent the worker gets an order.
func (w *worker) setLate(late func(path string, body []byte) time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.late = late
}

func (w *worker) delay(path string, body []byte) time.Duration {
	w.mutex.Lock()
	late := w.late
	w.mutex.Unlock()
	if late == nil {
		return 0
	}
	return late(path, body)
}

func (w *worker) deliverLate(path, instance string, body []byte) {
	answer, answered := w.handle(path, instance, body, nil)
	if !answered {
		w.world.record.add("late order %s does not reach worker %s: %s", path, w.id, body)
		return
	}
	w.world.record.add("late order %s is carried out by worker %s with status %d %v: %s", path, w.id, answer.status, answer.body, body)
}
