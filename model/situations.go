package model

import (
	"math"
	"time"

	"fulmarfall/ident"
)

// Situation names what happens during a run.
type Situation string

// The situations.
const (
	Steady          Situation = "steady"
	Stragglers      Situation = "stragglers"
	DomainOut       Situation = "domain_out"       // a failure domain out of service for five seconds and back
	Leaving         Situation = "leaving"          // one searcher per upstream leaves and returns
	ShardCold       Situation = "shard_cold"       // all replicas of a shard restart
	ReplicaLost     Situation = "replica_lost"     // one replica per upstream dies for five seconds
	TurnsCold       Situation = "turns_cold"       // searchers lose their caches without a sign
	CrashingRequest Situation = "crashing_request" // three requests crash what runs them, and are resent
	Overload        Situation = "overload"         // twice the capacity
	SnapshotChange  Situation = "snapshot_change"  // a new snapshot with a split shard, searcher by searcher
	FanOut          Situation = "fan_out"          // the two-year fan-out of 55, at that size
)

// Situations lists the situations.
var Situations = []Situation{
	Steady, Stragglers, DomainOut, Leaving, ShardCold, ReplicaLost, TurnsCold, CrashingRequest, Overload, SnapshotChange, FanOut,
}

// In CrashingRequest, crashingRequests requests crash the searchers that run them; each is sent by
// crashingCallers callers at the same moment, through different entry nodes, and resent by all of them.
const (
	crashingRequests = 3
	crashingCallers  = 4
)

// prepare plans the events of the situation. Times count from the start of the measurement.
func (w *world) prepare(s Situation) {
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
		at(1, func() { w.setDomain(1, true) })
		at(6, func() { w.setDomain(1, false) })
	case Leaving:
		at(1, func() {
			for _, u := range w.upstreams {
				w.leave(u.replicaSets[0][0])
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

// capacity is the rate of queries that fills all slots of an upstream.
func (w *world) capacity(u *upstream) float64 {
	mean := u.service.Seconds() * math.Exp(serviceSigma*serviceSigma/2)
	mean += w.stragglers * (w.size.pause[0] + w.size.pause[1]).Seconds() / 2

	return float64(u.replicas*u.slots) / mean
}

func (w *world) setDomain(d int, out bool) {
	w.domainOut[d], w.outSince[d] = out, w.now
	w.changed(configInForce)
}

// leave lets a searcher announce that it leaves, stop a second after the bound on new work, and return.
func (w *world) leave(s *fakeSearcher) {
	s.leaving, s.leavingAt = true, w.now
	s.announce()
	w.changed(renewal + commitTime)
	w.after(newWorkBound+time.Second, func() {
		s.stop()
		w.after(time.Second, s.restart)
	})
}

// changeSnapshot moves the searchers one by one to a snapshot in which shard 0 is split. Each holds both
// snapshots for a while.
func (w *world) changeSnapshot() {
	const spread, both = 2 * time.Second, 1500 * time.Millisecond
	for _, u := range w.upstreams {
		u.snapshots = append(u.snapshots, newSnapshotData(2, u, true))
	}
	for _, s := range w.searchers {
		w.after(w.between(0, spread), func() {
			s.snapshots = []ident.SnapshotID{1, 2}
			w.changed(renewal + commitTime)
			w.after(both, func() {
				s.snapshots = []ident.SnapshotID{2}
				w.changed(renewal + commitTime)
			})
		})
	}
}
