package pool

import (
	"maps"

	"github.com/wheatroad/wheatroad/internal/rows"
)

// removedJobs holds the store version at which the rows of each removed job were last removed. A
// listing or an announcement may be older than the removal. A job that it names must not run again.
type removedJobs map[string]int64

// removedAfter reports whether a job's rows were removed after the given row was written.
func (r removedJobs) removedAfter(id string, row *rows.Row) bool {
	removedAt, removed := r[id]
	return removed && row.Version <= removedAt
}

// forget drops the jobs that were removed up to a version. It must only be called once no response
// that is older than the version can follow.
func (r removedJobs) forget(version int64) {
	maps.DeleteFunc(r, func(_ string, removedAt int64) bool { return removedAt <= version })
}
