package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The load: six control VMs that have just started, 280 entry VMs and 1,330 searchers. Searchers report to any control VM,
// as callers of theirs do; entry VMs to one.
//
// Guards against control VMs that forget entry VMs while they still fetch a large table in parts, ask for all of it again
// because of that, and so never come to an end: at 300 machines that made most of the bytes between regions.
func TestLargeTablesSettle(t *testing.T) {
	const (
		tables, entryVMs, searchers = 6, 280, 1330
		step                        = 250 * time.Millisecond
		exchangeEvery               = 2 // steps
		reportEvery                 = 5 // steps
		settleFor                   = 10 * time.Second
		playFor                     = 30 * time.Second
	)

	var (
		rnd     = rand.New(rand.NewPCG(1, 2))
		all     [tables]*Table
		cursors [tables][tables]Cursor
		reports = 0
	)

	for i := range all {
		all[i] = NewTable(uint64(i + 1))
	}

	for since := time.Duration(0); since < playFor; since += step {
		now := start.Add(since)
		round := int(since / step)

		for i := range entryVMs {
			all[i%tables].Heard(now, Instance{
				ID: InstanceID(fmt.Sprintf("e%d", i)), Role: RoleEntry, Born: 1, Sequence: uint64(round + 1),
			}, 0)
		}

		for i := range searchers {
			if (round+i)%reportEvery == 0 {
				all[rnd.IntN(tables)].Heard(now, searcherAt(fmt.Sprintf("s%d", i), 1, uint64(round+1), StateReady), 0)
			}
		}

		if round%exchangeEvery != 0 {
			continue
		}

		for to := range all {
			for from := range all {
				if from == to {
					continue
				}

				changes, _, _ := follow(now, all[from], all[to], &cursors[to][from], true)
				if since >= settleFor {
					reports += changes
				}
			}

			all[to].Expire(now)

			if count, _ := all[to].EntryLoad(); since >= settleFor && count != entryVMs {
				t.Fatalf("after %v: %d entry VMs known, want %d", since, count, entryVMs)
			}
		}
	}

	if reports > 0 {
		t.Errorf("%d whole entries travelled without a change", reports)
	}
}
