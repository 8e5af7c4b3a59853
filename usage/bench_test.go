package usage

import (
	"testing"
	"time"

	"fulmarfall/ident"
)

// BenchmarkReport measures the work of the leader for one report, with 300 entry VMs and 74 teams.
func BenchmarkReport(b *testing.B) {
	p := newPlay(300, 300, manyTeams(74))
	p.load = p.evenly(0.3, 0, 300)
	p.run(startPeriod + time.Second)

	reports := make([]*Report, len(p.vms))
	for i, vm := range p.vms {
		reports[i] = vm.holder.Report(p.now, true, nil)
	}

	names := make([]ident.NodeID, len(p.vms))
	for i := range names {
		names[i] = nodeName(i)
	}

	for i := 0; b.Loop(); i++ {
		vm := i % len(reports)
		r := *reports[vm]
		r.Sequence += uint64(i)
		r.Full = true
		p.leader.Report(p.now.Add(time.Duration(i)*time.Millisecond), names[vm], &r)
	}
}
