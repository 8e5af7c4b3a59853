package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against control VMs that never converge: while they fetch a large table in several updates, entry VMs expire, so
// they fetch the whole table again. With 300 machines, this caused most of the traffic between regions.
//
// Simulates six control VMs that have just started, 280 entry VMs and 1,330 searchers. Each searcher reports to a random
// control VM, each entry VM always to the same one.
func TestLargeTablesConverge(t *testing.T) {
	const (
		tables, entryVMs, searchers = 6, 280, 1330
		step                        = 250 * time.Millisecond
		exchangeEvery               = 2 // steps
		reportEvery                 = 5 // steps
		convergenceTime             = 10 * time.Second
		duration                    = 30 * time.Second
	)

	var (
		rnd         = rand.New(rand.NewPCG(1, 2))
		all         [tables]*Table
		cursors     [tables][tables]Cursor
		fullEntries = 0
	)

	for i := range all {
		all[i] = NewTable(uint64(i + 1))
	}

	for since := time.Duration(0); since < duration; since += step {
		now := start.Add(since)
		round := int(since / step)

		for i := range entryVMs {
			all[i%tables].ApplyReport(now, Instance{
				ID: InstanceID(fmt.Sprintf("e%d", i)), Role: RoleEntry, Born: 1, Sequence: uint64(round + 1),
			}, 0)
		}

		for i := range searchers {
			if (round+i)%reportEvery == 0 {
				all[rnd.IntN(tables)].ApplyReport(now, searcherAt(fmt.Sprintf("s%d", i), 1, uint64(round+1), StateReady), 0)
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

				changes, _, _ := exchange(now, all[from], all[to], &cursors[to][from], true)
				if since >= convergenceTime {
					fullEntries += changes
				}
			}

			all[to].Expire(now)

			if count := TotalLoad(all[to].EntryLoads()).VMs; since >= convergenceTime && count != entryVMs {
				t.Fatalf("after %v: %d entry VMs in the table, want %d", since, count, entryVMs)
			}
		}
	}

	if fullEntries > 0 {
		t.Errorf("%d full entries were sent without a change", fullEntries)
	}
}
