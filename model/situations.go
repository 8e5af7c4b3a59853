package model

import (
	"math"
	"time"

	"fulmarfall/ident"
)

// Situation names the events that a run injects.
type Situation string

// The situations that a run can simulate.
const (
	Steady          Situation = "steady"
	Stragglers      Situation = "stragglers"
	DomainOut       Situation = "domain_out"       // a failure domain is out of service for five seconds
	Leaving         Situation = "leaving"          // one searcher per upstream leaves and returns
	ShardCold       Situation = "shard_cold"       // all replicas of a shard restart
	ReplicaLost     Situation = "replica_lost"     // one replica per upstream is down for five seconds
	TurnsCold       Situation = "turns_cold"       // searchers lose their caches without notice
	CrashingRequest Situation = "crashing_request" // three requests crash the searchers that run them, and are resent
	Overload        Situation = "overload"         // twice the capacity
	SnapshotChange  Situation = "snapshot_change"  // a new snapshot with a split shard, rolled out searcher by searcher
	FanOut          Situation = "fan_out"          // fan-out of 55 at size TwoYears
)

// Situations lists all situations.
var Situations = []Situation{
	Steady, Stragglers, DomainOut, Leaving, ShardCold, ReplicaLost, TurnsCold, CrashingRequest, Overload, SnapshotChange, FanOut,
}

// In CrashingRequest, each of crashingRequests requests crashes the searchers that run it. It is sent by
// crashingCallers callers at the same time, through entry nodes chosen at random, and resent by all of them.
const (
	crashingRequests = 3
	crashingCallers  = 4
)

// scheduleEvents schedules the events of the situation. Times are relative to the start of the measurement.
func (w *world) scheduleEvents(s Situation) {
	at := func(seconds float64, do func()) {
		w.at(epoch.Add(w.size.warmup+time.Duration(seconds*float64(time.Second))), do)
	}
	switch s {
	case Stragglers:
		w.stragglers = 0.01
		for _, u := range w.upstreams {
			u.replicaSets[0][0].slow = 4
		}
	case DomainOut:
		at(1, func() { w.setDomainOut(1, true) })
		at(6, func() { w.setDomainOut(1, false) })
	case Leaving:
		at(1, func() {
			for _, u := range w.upstreams {
				w.drain(u.replicaSets[0][0])
			}
		})
	case ShardCold:
		at(1, func() {
			for _, u := range w.upstreams {
				for _, r := range u.replicaSets[0] {
					r.crash()
				}
			}
		})
	case ReplicaLost:
		at(1, func() {
			for _, u := range w.upstreams {
				r := u.replicaSets[0][0]
				r.stop()
				w.after(5*time.Second, r.restart)
			}
		})
	case TurnsCold:
		at(1, func() {
			for _, u := range w.upstreams {
				u.replicaSets[0][0].turnCold()
				u.replicaSets[1][1].turnCold()
			}
		})
	case CrashingRequest:
		for i := range crashingRequests {
			at(1+float64(i), func() {
				f := ident.Fingerprint(900 + i)
				w.crashing[f] = true
				for range crashingCallers {
					c := &call{w: w, issued: w.now, up: w.upstreams[0], class: ident.ClassNormal, fingerprint: f, crashes: true}
					c.send()
				}
			})
		}
	case Overload:
		for _, u := range w.upstreams {
			u.rate = 2 * w.capacity(u)
		}
	case SnapshotChange:
		at(1, w.changeSnapshot)
	case Steady, FanOut:
	}
}

// capacity returns the query rate that saturates all slots of an upstream.
func (w *world) capacity(u *upstream) float64 {
	mean := u.service.Seconds() * math.Exp(serviceSigma*serviceSigma/2)
	mean += w.stragglers * (w.size.pause[0] + w.size.pause[1]).Seconds() / 2

	return float64(u.replicas*u.slots) / mean
}

func (w *world) setDomainOut(d int, out bool) {
	w.domainOut[d], w.outSince[d] = out, w.now
	w.propagate(configPropagation)
}

// drain makes a searcher announce that it leaves, stop one second after newWorkBound, and restart.
func (w *world) drain(s *fakeSearcher) {
	s.leaving, s.leavingAt = true, w.now
	s.announce()
	w.propagate(renewalInterval + commitLatency)
	w.after(newWorkBound+time.Second, func() {
		s.stop()
		w.after(time.Second, s.restart)
	})
}

// changeSnapshot moves the searchers one by one to a snapshot in which shard 0 is split. Each serves both snapshots
// during an overlap.
func (w *world) changeSnapshot() {
	const spread, overlap = 2 * time.Second, 1500 * time.Millisecond
	for _, u := range w.upstreams {
		u.snapshots = append(u.snapshots, newSnapshotData(2, u, true))
	}
	for _, s := range w.searchers {
		w.after(w.between(0, spread), func() {
			s.snapshots = []ident.SnapshotID{1, 2}
			w.propagate(renewalInterval + commitLatency)
			w.after(overlap, func() {
				s.snapshots = []ident.SnapshotID{2}
				w.propagate(renewalInterval + commitLatency)
			})
		})
	}
}
