package entry

import (
	"sync/atomic"
	"time"
)

// job is an attempt to be run by a worker.
type job struct {
	s *activeRequest
	a *attempt
}

func (j job) run() {
	s, a := j.s, j.a
	reply, f := s.n.exchange(s.r, a)
	now, result := time.Now(), a.plannerResult(reply, f)
	s.n.endRollout(now, a, reply, f)
	s.n.planner.AttemptEnded(now, a.send.Searcher, a.sentAt, result)

	if a.wasSent() {
		s.n.links.ended(now, a.send.Searcher, result)
	}

	select {
	case s.attemptResults <- attemptResult{attempt: a.send.Attempt, reply: reply, failure: f}:
	case <-s.done: // the request has its result
		reply.release()
	}
}

// maxIdleWorkers bounds the goroutines kept for further attempts. A new goroutine has to grow its stack first, which
// takes an eighth of the processor time of an attempt.
const maxIdleWorkers = 128

// workers runs attempts on reused goroutines.
type workers struct {
	jobs chan job // unbuffered: a job is handed over only to an idle worker
	idle atomic.Int64
	done chan struct{}
}

func newWorkers() *workers { return &workers{jobs: make(chan job), done: make(chan struct{})} }

func (w *workers) run(j job) {
	select {
	case w.jobs <- j:
	default:
		go w.work(j)
	}
}

func (w *workers) work(j job) {
	for {
		j.run()

		if w.idle.Add(1) > maxIdleWorkers {
			w.idle.Add(-1)

			return
		}

		select {
		case j = <-w.jobs:
			w.idle.Add(-1)
		case <-w.done:
			return
		}
	}
}

// close stops idle workers; busy ones exit after their attempt.
func (w *workers) close() { close(w.done) }
