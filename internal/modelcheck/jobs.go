package modelcheck

import (
	"sync"
	"sync/atomic"
)

// JobQueue contains the jobs of a search that no worker has started.
type JobQueue[J any] struct {
	workers    int
	unfinished atomic.Int64 // queued jobs and jobs in progress
	queued     chan J       // closed by the worker that finishes the last job
}

// queuedPerWorker is the number of offered jobs per worker that fit into the queue in addition to the
// initial jobs.
const queuedPerWorker = 4

// Run does all initial jobs, and those that workers offer meanwhile, with the given number of workers, at
// least one. It calls newWorker once for each worker; newWorker returns the function that does a job. Run
// owns the workers' goroutines and returns when all jobs are done.
func Run[J any](workers int, initial []J, newWorker func(jobs *JobQueue[J]) (do func(J))) {
	workers = max(workers, 1)
	jobs := &JobQueue[J]{workers: workers, queued: make(chan J, len(initial)+queuedPerWorker*workers)}
	jobs.unfinished.Store(int64(len(initial)))
	for _, j := range initial {
		jobs.queued <- j
	}
	if len(initial) == 0 {
		close(jobs.queued)
	}
	var running sync.WaitGroup
	for range workers {
		do := newWorker(jobs)
		running.Go(func() {
			for j := range jobs.queued {
				do(j)
				if jobs.unfinished.Add(-1) == 0 {
					close(jobs.queued)
				}
			}
		})
	}
	running.Wait()
}

// HasIdleWorker reports whether another worker may be idle: no job is queued.
func (q *JobQueue[J]) HasIdleWorker() bool { return q.workers > 1 && len(q.queued) == 0 }

// Offer queues a job for any worker unless the queue is full, and reports whether it did. Only a worker may
// call it, while it does a job, as the queue is closed when no job is left.
func (q *JobQueue[J]) Offer(job J) (queued bool) {
	q.unfinished.Add(1)
	select {
	case q.queued <- job:
		return true
	default:
		q.unfinished.Add(-1)
		return false
	}
}
