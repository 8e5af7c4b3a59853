package reachability

import (
	"testing"

	"pgregory.net/rapid"
)

// fakeExit probes a searcher over links that fail and come back, step by step.
type fakeExit struct {
	t *rapid.T
	// exitedAt and restartedAt are steps; -1 means never. Links are up in a step if linksUp says so.
	exitedAt, restartedAt int
	linksUp               func(step int) bool
	step                  int
}

func (f *fakeExit) listens() bool {
	return f.exitedAt < 0 || f.step < f.exitedAt || f.restartedAt >= 0 && f.step >= f.restartedAt
}

func (f *fakeExit) next() bool {
	f.step += rapid.IntRange(1, 5).Draw(f.t, "wait")

	return f.linksUp(f.step)
}

func (f *fakeExit) Refuses() bool      { up := f.next(); return !up || !f.listens() }
func (f *fakeExit) OthersAccept() bool { return f.next() }
func (f *fakeExit) Restarted() bool    { return f.restartedAt >= 0 }

// Guards against a searcher that is taken for one that has exited because the links of the node fail, once or again and again,
// and against an exit that is never found although the links work.
func TestExitedUnderFlappingLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			// Links that fail stay down for longer than two consecutive steps of the probe take.
			down   = rapid.IntRange(11, 60).Draw(t, "down")
			up     = rapid.IntRange(1, 60).Draw(t, "up")
			offset = rapid.IntRange(0, 120).Draw(t, "offset")
			flaps  = rapid.Bool().Draw(t, "links flap")
			f      = &fakeExit{t: t, exitedAt: -1, restartedAt: -1, linksUp: func(step int) bool { return !flaps || (step+offset)%(down+up) < up }}
		)

		if rapid.Bool().Draw(t, "exits") {
			f.exitedAt = 0
			if rapid.Bool().Draw(t, "restarts") {
				f.restartedAt = rapid.IntRange(6, 30).Draw(t, "restart")
			}
		}

		exited := f.exitedAt >= 0

		var (
			got     Exit
			refused bool
		)

		for range rapid.IntRange(1, 5).Draw(t, "probes") {
			if got, refused = ProbeExit(f, refused); got != ExitUnknown {
				break
			}
		}

		switch {
		case got == Exited && !exited:
			t.Errorf("a searcher that runs is taken for one that has exited")
		case got == Running && exited:
			t.Errorf("a searcher that has exited is taken for one that runs")
		case got == ExitUnknown && !flaps:
			t.Errorf("nothing is found out although the links work")
		}
	})
}
