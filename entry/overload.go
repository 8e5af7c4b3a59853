package entry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"fulmarfall/admission"
	"fulmarfall/configuration"
	"fulmarfall/ident"
)

const (
	// maxInFlight bounds the requests in progress. With more of them, those that wait longest for the processor could no
	// longer be served in time.
	maxInFlight = 400
	// drainTarget is the fraction of maxInFlight at which refused callers should retry, so that they do not find the
	// node full again.
	drainTarget = 0.75
	// maxDrainTime bounds the retry time given to callers, which wait for at most a third of their deadline, a few
	// seconds.
	maxDrainTime = 2 * time.Second
)

// drainTime estimates, from the rate at which requests complete, how long it takes until the requests in progress fall
// to drainTarget.
func drainTime(inFlight int64, perSecond float64) time.Duration {
	excess := float64(inFlight) - drainTarget*maxInFlight
	if excess <= 0 {
		return defaultRetryAfter
	}

	seconds := excess / math.Max(perSecond, 1)

	return max(defaultRetryAfter, min(maxDrainTime, time.Duration(seconds*float64(time.Second))))
}

// gate decides which requests a nearly full node refuses, so that maxInFlight is rarely reached and urgent requests still find
// room. While all requests have one class and one team, it refuses none.
type gate struct {
	mu      sync.Mutex
	shedder *admission.Shedder
}

func (g *gate) init() {
	g.shedder = admission.NewShedder(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))) //nolint:gosec // Staggers decisions; not a secret.
}

// refuses returns why a request is refused while the given number of requests is in progress, or "".
func (g *gate) refuses(now time.Time, inFlight int64, d admission.Demand) ident.Reason {
	g.mu.Lock()
	defer g.mu.Unlock()

	fraction := admission.OverloadFraction(float64(inFlight), maxInFlight)
	if !g.shedder.Mixed(now, d) {
		fraction = 0
	}

	switch g.shedder.Admit(now, d, fraction) {
	case admission.RefusedClass:
		return ident.ReasonOverloaded
	case admission.RefusedShare:
		return ident.ReasonOverShare
	case admission.Admitted:
	}

	return ""
}

func (g *gate) reports() []admission.FlowReport {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.shedder.Reports()
}

func demandOf(r *configuration.Route, t *configuration.Team) admission.Demand {
	return admission.Demand{Class: classOf(r, t), Team: teamName(t), Weight: entitlement(t)}
}

// entitlement returns the weight of a team in the fair shares: its rate limit. It is 0 for teams without one.
func entitlement(t *configuration.Team) float64 {
	if t == nil {
		return 0
	}

	return t.RatePerSecond
}

// admissionReportInterval is the time between two log lines about requests that were refused for the sake of others.
const admissionReportInterval = time.Second

// reportAdmission logs and counts which classes and teams were refused because searchers or this node are full.
func (n *Node) reportAdmission(now time.Time) {
	if now.Sub(n.admissionReportedAt) < admissionReportInterval {
		return
	}

	n.admissionReportedAt = now

	for _, r := range n.planner.AdmissionReports() {
		n.reportShed("searchers", string(r.Group), r.RefusedFraction, r.Classes)
	}

	n.reportShed("node", string(n.cfg.Node), admission.OverloadFraction(float64(n.inFlight.Load()), maxInFlight), n.gate.reports())
}

func (n *Node) reportShed(what, name string, fraction float64, classes []admission.FlowReport) {
	for _, r := range classes {
		if r.Shed == 0 {
			continue
		}

		n.countBy("admission_refused_total", ident.Reason(r.Class.String()), r.Shed)
		n.logger.Info().Str("full", what).Str("name", name).Float64("fraction", fraction).Str("class", r.Class.String()).Int("admitted", r.Sent).
			Int("refused", r.Shed).Str("team", string(r.Team)).Int("team_refused", r.TeamShed).Msg("requests refused for the sake of others")
	}
}
