package entry

import (
	"fmt"
	"time"

	"fulmarfall/control"
	"fulmarfall/ident"

	"github.com/go-faster/errors"
)

const (
	// trialRetryAfter is the retry time of suspected requests while another one runs. A trial takes as long as the request, and
	// its result is known everywhere a followInterval later.
	trialRetryAfter = 300 * time.Millisecond
	// trialMargin extends a trial beyond the deadline of its request, until the strike after a crash is stored.
	trialMargin = probePeriod + restartWait + time.Second
	// trialTimeout bounds the wait for one control VM, and trialTries the number that are asked. The caller waits meanwhile.
	trialTimeout = 250 * time.Millisecond
	trialTries   = 2
)

// Labels of trials_total.
const (
	trialGranted     ident.Reason = "granted"
	trialDenied      ident.Reason = "denied"
	trialUnconfirmed ident.Reason = "unconfirmed"
)

// beginTrial reports whether the suspected request may run now. Only one with its fingerprint may run at a time, at all nodes; if
// no control VM tells, at this node.
func (s *activeRequest) beginTrial() bool {
	n := s.n

	n.crashes.mu.Lock()
	_, running := n.crashes.trials[s.fingerprint]

	if !running {
		n.crashes.trials[s.fingerprint] = struct{}{}
		n.crashes.trialTokens++
		s.trial = fmt.Sprintf("%s/%d/%d", n.cfg.Node, n.cfg.Incarnation, n.crashes.trialTokens)
	}
	n.crashes.mu.Unlock()

	if running {
		return false
	}

	granted, err := s.proposeTrial()

	switch {
	case err != nil:
		n.count("trials_total", trialUnconfirmed)
		n.logger.Warn().Str("request", string(s.r.ID)).Stringer("fingerprint", s.fingerprint).Err(err).
			Msg("suspected request runs although no control VM has granted a trial")
	case !granted:
		n.count("trials_total", trialDenied)
		s.removeTrial()

		s.trial = ""

		return false
	default:
		n.count("trials_total", trialGranted)
	}

	n.logger.Info().Str("request", string(s.r.ID)).Stringer("fingerprint", s.fingerprint).Uint32("strikes", s.suspect.Strikes).
		Msg("suspected request runs alone")

	return true
}

// proposeTrial asks control VMs for the right to run the request.
func (s *activeRequest) proposeTrial() (granted bool, err error) {
	n, now := s.n, time.Now()

	data, err := control.EncodeCommand(now, control.BeginTrial{
		Fingerprint: s.fingerprint, Token: s.trial, Duration: s.deadline().Sub(now) + trialMargin,
	})
	if err != nil {
		return false, errors.Wrap(err, "encode trial")
	}

	list, _ := n.controlVMs()
	for _, id := range list[:min(len(list), trialTries)] {
		var result control.Result

		if result, err = n.proposeWithin(id, data, trialTimeout); err == nil {
			done, ok := result.(control.DoneResult)

			return ok && done.Done, nil
		}
	}

	return false, errors.Wrap(err, "begin trial")
}

// endTrial gives the right to run the request back. Strikes for its losses are queued, and stored, before.
func (s *activeRequest) endTrial() {
	if s.trial == "" {
		return
	}

	s.removeTrial()
	s.n.queueEvidence(time.Now(), evidence{command: control.EndTrial{Fingerprint: s.fingerprint, Token: s.trial}})
}

func (s *activeRequest) removeTrial() {
	s.n.crashes.mu.Lock()
	defer s.n.crashes.mu.Unlock()

	delete(s.n.crashes.trials, s.fingerprint)
}
