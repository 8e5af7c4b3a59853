package entry

import (
	"context"
	"time"
)

const (
	// refuseBeforeEnd and closeBeforeEnd are the times before the end of the grace period at which a node starts to
	// refuse new requests and stops accepting connections. Most requests end within 300 ms.
	refuseBeforeEnd = 1100 * time.Millisecond
	closeBeforeEnd  = 800 * time.Millisecond
	// resultBeforeEnd is the time before the end of the grace period at which requests that are still in progress get their
	// final result, so that it reaches the caller before the process exits.
	resultBeforeEnd = 500 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the exit of the process.
	exitMargin = 250 * time.Millisecond
	// drainPollInterval is how often Drain checks whether all requests have ended.
	drainPollInterval = 20 * time.Millisecond
)

// Drain performs a planned stop. The node is removed from the directory but still serves callers that use its address;
// near the end of the grace period it refuses new requests as not run and closes its server. Drain returns when no
// request is in progress, or shortly before the process would be killed.
func (n *Node) Drain(grace time.Duration, closeServer func(context.Context) error) {
	end := time.Now().Add(grace)

	n.announceLeave()
	time.Sleep(time.Until(end.Add(-refuseBeforeEnd)))
	n.stopping.Store(true)
	n.logger.Info().Int64("in_flight", n.inFlight.Load()).Msg("planned stop: draining")
	time.Sleep(time.Until(end.Add(-closeBeforeEnd)))

	ctx, cancel := context.WithDeadline(context.Background(), end.Add(-exitMargin))
	defer cancel()

	results := time.AfterFunc(time.Until(end.Add(-resultBeforeEnd)), func() { close(n.ending) })
	defer results.Stop()

	if err := closeServer(ctx); err != nil {
		n.logger.Warn().Err(err).Int64("in_flight", n.inFlight.Load()).Msg("server did not close within the grace period; remaining requests are cut off")
	}

	for n.inFlight.Load() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
}

// announceLeave starts the planned stop: the directory no longer lists this node, which still serves requests.
func (n *Node) announceLeave() {
	n.leaving.Store(true)
	n.logger.Info().Int64("in_flight", n.inFlight.Load()).Msg("planned stop: leaving")

	select {
	case n.wake <- struct{}{}:
	default:
	}
}
