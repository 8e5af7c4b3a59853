package model

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"text/tabwriter"
)

// BenchmarkModel prints both versions side by side for every size and situation.
func BenchmarkModel(b *testing.B) {
	rows := []string{header}
	for _, size := range []Size{Kilimanjaro, Cluj} {
		for _, s := range Situations {
			if s == FanOut && size == Cluj {
				continue
			}
			for _, v := range []Version{Product, Naive} {
				b.Run(fmt.Sprintf("%s/%s/%s", size, s, v), func(b *testing.B) {
					for range b.N {
						r := Run(Experiment{Size: size, Situation: s, Version: v, Seed: 1})
						rows = append(rows, row(r))
						b.ReportMetric(r.P50, "p50_ms")
						b.ReportMetric(r.P99, "p99_ms")
						b.ReportMetric(r.P999, "p999_ms")
						b.ReportMetric(r.MeanCoverage, "coverage")
						b.ReportMetric(r.ExtraStarted, "extra")
					}
				})
			}
		}
	}
	printTable(b, rows)
}

// printTable writes lines of cells that are separated by tabs.
func printTable(tb testing.TB, rows []string) {
	tb.Helper()
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 1, ' ', 0)
	if _, err := w.Write([]byte(strings.Join(rows, "\n") + "\n")); err != nil {
		tb.Fatal(err)
	}
	if err := w.Flush(); err != nil {
		tb.Fatal(err)
	}
}

const header = "size\tsituation\tversion\tqueries\tp50\tp99\tp99.9\tin75\tcover\tmin\textra\tstarted\tslots+\tconns+\tcold+" +
	"\tfell\tcrash\tlate\tkey\tmixed\tcov!\tunans\trefused\tref99\tshard refusals\twait99\tlate"

// row shows a report as a line of the table.
func row(r Report) string {
	e := r.Experiment
	v := string(e.Version)
	for _, m := range e.Without {
		v += " -" + string(m)
	}

	return fmt.Sprintf("%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.4f\t%.4f\t%.2f\t%.4f\t%.4f\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%.1f\t%s\t%.1f\t%d",
		e.Size, e.Situation, v, r.Queries, r.P50, r.P99, r.P999, r.Within75, r.MeanCoverage, r.MinCoverage,
		r.ExtraSent, r.ExtraStarted, r.OverSlots, r.OverConnections, r.ColdOvershoot, r.FellOver, r.Crashed, r.LateStarts,
		r.MostRunsPerKey, r.MixedSnapshots, r.WrongCoverages, r.Unanswered, compact(r.Refusals), r.RefusalP99,
		compact(r.ShardRefusals), r.ShardRefusalP99, r.ShardRefusedLate)
}

func compact[K ~string](m map[K]int) string {
	s := strings.TrimPrefix(fmt.Sprint(m), "map")
	if s == "[]" {
		return "-"
	}

	return strings.ReplaceAll(s, " ", ",")
}
