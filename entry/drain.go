package entry

// This file is the planned stop.

import (
	"context"
	"time"
)

const (
	// refuseBeforeEnd and closeBeforeEnd are the times before the end of the grace period from which a node refuses new
	// requests and takes no more connections. Most requests end within 300 ms.
	refuseBeforeEnd = 1100 * time.Millisecond
	closeBeforeEnd  = 800 * time.Millisecond
	// killMargin is what is left of the grace period for the end of the process.
	killMargin = 250 * time.Millisecond
	// drainPoll is how often a planned stop looks whether all requests have ended.
	drainPoll = 20 * time.Millisecond
)

// Drain is the planned stop: the node leaves the answers of the directory, serves callers that still hold its address,
// refuses new requests as not run near the end of the grace period, has its server closed, and returns when nothing is in
// progress, or shortly before the process would be killed.
func (n *Node) Drain(grace time.Duration, closeServer func(context.Context) error) {
	end := time.Now().Add(grace)

	n.leave()
	time.Sleep(time.Until(end.Add(-refuseBeforeEnd)))
	n.stopping.Store(true)
	n.logger.Info().Int64("in_flight", n.inFlight.Load()).Msg("planned stop: draining")
	time.Sleep(time.Until(end.Add(-closeBeforeEnd)))

	ctx, cancel := context.WithDeadline(context.Background(), end.Add(-killMargin))
	defer cancel()

	if err := closeServer(ctx); err != nil {
		n.logger.Warn().Err(err).Int64("in_flight", n.inFlight.Load()).Msg("requests are cut off at the end of the grace period")
	}

	for n.inFlight.Load() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
}

// leave announces the planned stop: callers are no longer told this address. Requests are still served.
func (n *Node) leave() {
	n.leaving.Store(true)
	n.logger.Info().Int64("in_flight", n.inFlight.Load()).Msg("planned stop: leaving")

	select {
	case n.wake <- struct{}{}:
	default:
	}
}
