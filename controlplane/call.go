// Calls that nothing orders. A control VM may read a call long after it was sent: the VM was frozen, or the bytes were held
// up by a partition. Callers wait for a second and then repeat the call elsewhere, so a late call may have been followed by
// its opposite. It must not be carried out unless its caller still waits.

package controlplane

import (
	"context"
	"sync"
	"time"

	"fulmarfall/timers"

	"github.com/go-faster/errors"
)

const (
	// callerPatience is the time after which callers repeat an unanswered call at another control VM.
	callerPatience = time.Second
	// closeDelay is how long the end of a caller's connection may arrive after its call. TCP delivers both after a partition,
	// the end a round trip (30 ms) later, and later by a retransmission (200 ms) if it is lost.
	closeDelay = 250 * time.Millisecond
	// pauseCheckInterval is the interval at which a control VM checks whether it has run all the while, minPause the least time
	// without a check that counts as a pause.
	pauseCheckInterval = 100 * time.Millisecond
	minPause           = 500 * time.Millisecond
)

// ErrAbandoned means that a call was not carried out because its caller may have given it up.
var ErrAbandoned = errors.New("the caller may have given up the call")

// Call is what is known of the caller of a call that an operator or a searcher has made.
type Call struct {
	readAt       time.Time // on the clock of pauses
	disconnected func() bool
	pauses       *pauseDetector
}

// BeginCall returns a call that has just been read. disconnected reports whether its caller has closed the connection.
func (p *Plane) BeginCall(disconnected func() bool) *Call {
	return &Call{readAt: p.pauses.now(), disconnected: disconnected, pauses: p.pauses}
}

// confirmWaiting returns an error unless the caller still waits for the answer. What it orders elsewhere after giving up this call is
// then later than anything that was read before confirmWaiting returned. It waits until the end of the caller's connection has arrived,
// if the caller had closed it before the call was read.
func (c *Call) confirmWaiting(ctx context.Context) error {
	if err := timers.Sleep(ctx, c.readAt.Add(closeDelay).Sub(c.pauses.now())); err != nil {
		return errors.Wrap(ErrAbandoned, "too little time is left for the answer")
	}

	return c.checkWaiting()
}

// checkWaiting returns an error unless the caller, as far as is known, still waits for the answer.
func (c *Call) checkWaiting() error {
	end, _ := c.pauses.last()

	switch now := c.pauses.now(); {
	case end.Add(callerPatience).After(c.readAt):
		return errors.Wrap(ErrAbandoned, "this control VM was paused when the call arrived, or since")
	case now.Sub(c.readAt) >= callerPatience:
		return errors.Wrapf(ErrAbandoned, "it was read %v ago", now.Sub(c.readAt))
	case c.disconnected():
		return errors.Wrap(ErrAbandoned, "its connection is closed")
	default:
		return nil
	}
}

// maxAge returns how long ago the call may have been sent because of a pause of this control VM; 0 if it has run all the while.
func (c *Call) maxAge() time.Duration {
	if end, length := c.pauses.last(); end.Add(callerPatience).After(c.readAt) {
		return length
	}

	return 0
}

// pauseDetector notices that the process did not run for some time, because it or the VM was frozen or suspended.
type pauseDetector struct {
	now func() time.Time // of a clock that advances while the machine is suspended

	mu        sync.Mutex
	checkedAt time.Time
	end       time.Time // of the last pause, zero if there was none
	length    time.Duration
}

func newPauseDetector(now func() time.Time) *pauseDetector {
	return &pauseDetector{now: now, checkedAt: now()}
}

// last returns the end and the length of the last pause. It finds a pause that has just ended even if no check has been made since.
func (d *pauseDetector) last() (end time.Time, length time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()

	now := d.now()
	if gap := now.Sub(d.checkedAt); gap >= minPause {
		d.end, d.length = now, gap
	}

	d.checkedAt = now

	return d.end, d.length
}

// watchPauses checks for pauses until the control VM stops.
func (p *Plane) watchPauses() {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()

	var logged time.Time

	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}

		if end, length := p.pauses.last(); !end.Equal(logged) {
			p.logger.Warn().Dur("length", length).Msg("this control VM was paused")

			logged = end
		}
	}
}
