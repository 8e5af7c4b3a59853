package model

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"

	"fulmarfall/ident"
)

// BenchmarkModel prints both versions side by side for every size and situation.
func BenchmarkModel(b *testing.B) {
	rows := []string{tableHeader}
	for _, size := range []Size{Kilimanjaro, Cluj} {
		for _, s := range Situations {
			if s == FanOut && size == Cluj {
				continue
			}
			for _, v := range []Version{Product, Naive} {
				b.Run(fmt.Sprintf("%s/%s/%s", size, s, v), func(b *testing.B) {
					for range b.N {
						r := Run(Experiment{Size: size, Situation: s, Version: v, Seed: 1})
						rows = append(rows, reportRow(r))
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

// ablationSeeds are the seeds over which printMeans averages.
var ablationSeeds = []uint64{1, 2, 3}

// BenchmarkAblation prints, for every situation, the results of the product with each mechanism disabled in turn,
// averaged over the seeds, and the checks that fail for any seed.
func BenchmarkAblation(b *testing.B) {
	for range b.N {
		var experiments []Experiment
		for _, s := range Situations {
			for _, m := range append([]Mechanism{""}, Mechanisms...) {
				e := Experiment{Size: Kilimanjaro, Situation: s, Version: Product}
				if m != "" {
					e.Without = []Mechanism{m}
				}
				experiments = append(experiments, e)
			}
		}
		printMeans(b, experiments)
	}
}

// BenchmarkCanary prints the cost of the canary at fan-out 55 for several shares of requests that are not yet proven
// harmless.
func BenchmarkCanary(b *testing.B) {
	for range b.N {
		var experiments []Experiment
		for _, fresh := range []float64{0, 0.2, 0.5, 1} {
			for _, without := range [][]Mechanism{nil, {Canary}} {
				experiments = append(experiments, Experiment{
					Size: TwoYears, Situation: FanOut, Version: Product, Without: without, FreshShare: &fresh,
				})
			}
		}
		printMeans(b, experiments)
	}
}

// BenchmarkOverload prints the results of both versions at twice the capacity, by request class.
func BenchmarkOverload(b *testing.B) {
	for range b.N {
		rows := []string{"version\tcapacity\ttimeout\tclass\tqueries\tanswers\tp99\tcoverage\trefusal p50"}
		for _, e := range []Experiment{
			{Version: Product},
			{Version: Naive},
			{Version: Product, Without: []Mechanism{DeadlineQueue}},
			{Version: Product, NodeCapacity: 64},
			{Version: Product, NodeCapacity: 32},
			{Version: Product, NodeCapacity: 16},
			{Version: Product, TimeoutMillis: 80},
			{Version: Product, TimeoutMillis: 80, Without: []Mechanism{EarlyRefusal}},
		} {
			e.Size, e.Situation, e.Seed = Kilimanjaro, Overload, 1
			r := Run(e)
			for _, c := range ident.Classes {
				k := r.Classes[c.String()]
				rows = append(rows, fmt.Sprintf("%s %v\t%d\t%d\t%s\t%d\t%d\t%.1f\t%.4f\t%.1f",
					e.Version, e.Without, e.NodeCapacity, e.TimeoutMillis, c, k.Queries, k.Answers, k.P99, k.MeanCoverage, r.RefusalP50))
			}
		}
		printTable(b, rows)
	}
}

// printMeans runs each experiment with every seed and prints a row of means for it.
func printMeans(b *testing.B, experiments []Experiment) {
	b.Helper()
	reports := make([][]Report, len(experiments))
	workers := make(chan struct{}, 3) // bounds the load on a shared machine
	var wg sync.WaitGroup
	for i := range experiments {
		reports[i] = make([]Report, len(ablationSeeds))
		for k, seed := range ablationSeeds {
			wg.Go(func() {
				workers <- struct{}{}
				e := experiments[i]
				e.Seed = seed
				reports[i][k] = Run(e)
				<-workers
			})
		}
	}
	wg.Wait()

	rows := []string{"situation\twithout\tfresh\tp50\tp99\tp99.9\tin75\tcover\tsent\tstarted\tcold+\tfell\tcrash\tunans\tconns+\tfailed"}
	for _, rs := range reports {
		rows = append(rows, meanRow(rs))
	}
	printTable(b, rows)
}

func meanRow(rs []Report) string {
	mean := func(f func(Report) float64) float64 {
		sum := 0.0
		for _, r := range rs {
			sum += f(r)
		}

		return sum / float64(len(rs))
	}
	var failed []string
	for _, r := range rs {
		for _, c := range r.Failed() {
			if !slices.Contains(failed, string(c)) {
				failed = append(failed, string(c))
			}
		}
	}
	e := rs[0].Experiment

	return fmt.Sprintf("%s\t%v\t%.1f\t%.1f\t%.1f\t%.1f\t%.4f\t%.4f\t%.4f\t%.4f\t%.2f\t%.1f\t%.1f\t%.1f\t%.0f\t%v",
		e.Situation, e.Without, e.freshShare(),
		mean(func(r Report) float64 { return r.P50 }), mean(func(r Report) float64 { return r.P99 }),
		mean(func(r Report) float64 { return r.P999 }), mean(func(r Report) float64 { return r.Within75 }),
		mean(func(r Report) float64 { return r.MeanCoverage }), mean(func(r Report) float64 { return r.ExtraSent }),
		mean(func(r Report) float64 { return r.ExtraStarted }), mean(func(r Report) float64 { return r.ColdOvershoot }),
		mean(func(r Report) float64 { return float64(r.FellOver) }), mean(func(r Report) float64 { return float64(r.Crashed) }),
		mean(func(r Report) float64 { return float64(r.Unanswered) }),
		mean(func(r Report) float64 { return float64(r.OverConnections) }), failed)
}

// printTable prints rows of tab-separated cells as an aligned table.
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

const tableHeader = "size\tsituation\tversion\tqueries\tp50\tp99\tp99.9\tin75\tcover\tmin\textra\tstarted\tslots+\tconns+\tcold+" +
	"\tfell\tcrash\tlate\tkey\tmixed\tcov!\tunans\trefused\tref99\tshard refusals\twait99\tlate"

// reportRow formats a report as a table row.
func reportRow(r Report) string {
	e := r.Experiment
	v := string(e.Version)
	for _, m := range e.Without {
		v += " -" + string(m)
	}

	return fmt.Sprintf("%s\t%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.4f\t%.4f\t%.2f\t%.4f\t%.4f\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%.1f\t%s\t%.1f\t%d",
		e.Size, e.Situation, v, r.Queries, r.P50, r.P99, r.P999, r.Within75, r.MeanCoverage, r.MinCoverage,
		r.ExtraSent, r.ExtraStarted, r.OverSlots, r.OverConnections, r.ColdOvershoot, r.FellOver, r.Crashed, r.LateStarts,
		r.MostRunsPerKey, r.MixedSnapshots, r.WrongCoverages, r.Unanswered, formatCounts(r.Refusals), r.RefusalP99,
		formatCounts(r.ShardRefusals), r.ShardRefusalP99, r.ShardRefusedLate)
}

func formatCounts[K ~string](m map[K]int) string {
	s := strings.TrimPrefix(fmt.Sprint(m), "map")
	if s == "[]" {
		return "-"
	}

	return strings.ReplaceAll(s, " ", ",")
}
