package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/phuslu/log"

	"fulmarfall/api"
	"fulmarfall/client"
	"fulmarfall/ident"
	"fulmarfall/standin"
)

// Options configures Run.
type Options struct {
	Organisation Organisation
	// Searches is the number of searches per upstream.
	Searches int
}

const (
	demoVoters   = 3
	demoKeepTime = time.Second
	readyTimeout = 30 * time.Second
	hitLimit     = 10
)

// ErrWrongAnswer means that an answer differs from the one recomputed shard by shard from the data set.
var ErrWrongAnswer = errors.New("answer differs from its recomputation")

// Run starts a complete system in one process, sends searches and a non-idempotent request, verifies every
// answer, and prints its progress to w.
func Run(ctx context.Context, w io.Writer, o Options) (err error) {
	out := stdlog.New(w, "", 0)

	folder, err := os.MkdirTemp("", "fulmarfall-demo-")
	if err != nil {
		return fmt.Errorf("make data folder: %w", err)
	}

	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()

	org := o.Organisation
	out.Printf("%s: %d nodes (%d voters) in %d failure domains", org.Name, org.Nodes, demoVoters, len(org.Places))

	configs, err := Configure(folder, Layout{Places: org.Places, Nodes: org.Nodes, Voters: demoVoters, KeepTime: demoKeepTime})
	if err != nil {
		return err
	}

	c, stop, err := Start(configs, &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: os.Stderr}})
	if err != nil {
		return err
	}

	defer func() { err = errors.Join(err, stop()) }()

	op, closeOp := c.Operator()
	defer closeOp()

	if err := WriteRecords(ctx, op, org); err != nil {
		return err
	}

	out.Printf("records written: 1 calling team, %d upstreams with approvals, %d failure domains",
		len(org.Services), len(org.Places))

	searchers, stopSearchers, err := StartSearchers(org, c.Addresses())
	if err != nil {
		return err
	}

	defer func() { err = errors.Join(err, stopSearchers()) }()

	out.Printf("%d searchers announce themselves", len(searchers))

	team, closeTeam := client.New(c.Addresses(), client.WithKey(TeamKey(org.Team)))
	defer closeTeam()

	if err := WaitFullCoverage(ctx, team, org); err != nil {
		return err
	}

	for _, s := range org.Services {
		if err := verifySearches(ctx, out, team, s, o.Searches); err != nil {
			return err
		}
	}

	return verifyExecuteOnce(ctx, out, team, org.Services[len(org.Services)-1], searchers)
}

// WaitFullCoverage waits up to readyTimeout until every service answers with full coverage.
func WaitFullCoverage(ctx context.Context, team *client.Client, org Organisation) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()

	for _, s := range org.Services {
		var last error

		err := WaitFor(ctx, "full coverage of "+string(s.Upstream), func() bool {
			var a api.SearchAnswer

			a, last = team.Search(ctx, api.SearchRequest{Upstream: s.Upstream, Query: json.RawMessage(`"ready"`)})

			return last == nil && a.Coverage.ShardsAnswered == s.Shards
		})
		if err != nil {
			return errors.Join(err, last)
		}
	}

	return nil
}

func verifySearches(ctx context.Context, out *stdlog.Logger, team *client.Client, s Service, searches int) error {
	complete := 0

	var slowest time.Duration

	for i := range searches {
		query, err := json.Marshal(fmt.Sprintf("camera %d", i))
		if err != nil {
			return fmt.Errorf("encode query: %w", err)
		}

		started := time.Now()

		a, err := team.Search(ctx, api.SearchRequest{Upstream: s.Upstream, Query: query, Limit: hitLimit})
		if err != nil {
			return fmt.Errorf("search %s: %w", s.Upstream, err)
		}

		slowest = max(slowest, time.Since(started))

		if err := Verify(Dataset(s), s.AllShards(), query, hitLimit, a); err != nil {
			return fmt.Errorf("search %s: %w", s.Upstream, err)
		}

		if len(a.Coverage.Missing) == 0 {
			complete++
		}

		if i == 0 {
			out.Printf("%s %s: snapshot %d, %d of %d shards, %d of %d documents, %d hits, best %s (%.0f)",
				s.Upstream, query, a.Snapshot, a.Coverage.ShardsAnswered, a.Coverage.ShardsTotal,
				a.Coverage.DocumentsAnswered, a.Coverage.DocumentsTotal, len(a.Hits), a.Hits[0].ID, a.Hits[0].Score)
		}
	}

	out.Printf("%s: %d searches, %d with full coverage, slowest %s, all answers match their recomputation",
		s.Upstream, searches, complete, slowest.Round(time.Millisecond))

	return nil
}

// Verify recomputes an answer from the data set over the shards that it covers and compares the hits. It
// also checks the coverage against the list of all shards.
func Verify(data standin.Dataset, shards []ident.ShardID, query json.RawMessage, limit int, a api.SearchAnswer) error {
	missing := make(map[ident.ShardID]bool)
	for _, m := range a.Coverage.Missing {
		missing[m.Shard] = true
	}

	var (
		covered          []ident.ShardID
		total, documents ident.Documents
	)

	for _, s := range shards {
		n := data.Count(s, a.Snapshot)
		total += n

		if !missing[s] {
			covered = append(covered, s)
			documents += n
		}
	}

	want := api.Coverage{
		ShardsTotal: len(shards), ShardsAnswered: len(covered), DocumentsTotal: total, DocumentsAnswered: documents,
	}
	got := a.Coverage
	got.Missing = nil

	if len(a.Coverage.Missing) != len(shards)-len(covered) || got.ShardsTotal != want.ShardsTotal ||
		got.ShardsAnswered != want.ShardsAnswered || got.DocumentsTotal != want.DocumentsTotal ||
		got.DocumentsAnswered != want.DocumentsAnswered {
		return fmt.Errorf("%w: coverage is %+v, want %+v", ErrWrongAnswer, got, want)
	}

	hits, err := data.ExpectedAnswer(covered, a.Snapshot, query, limit)
	if err != nil {
		return fmt.Errorf("recompute answer: %w", err)
	}

	wantHits := make([]api.Hit, 0, len(hits))
	for _, h := range hits {
		wantHits = append(wantHits, api.Hit{ID: h.ID, Score: h.Score, Document: h.Document})
	}

	return compareHits(wantHits, a.Hits)
}

func compareHits(want, got []api.Hit) error {
	w, err := json.Marshal(want)
	if err != nil {
		return fmt.Errorf("encode hits: %w", err)
	}

	g, err := json.Marshal(got)
	if err != nil {
		return fmt.Errorf("encode hits: %w", err)
	}

	if !bytes.Equal(w, g) {
		return fmt.Errorf("%w: hits are %s, want %s", ErrWrongAnswer, g, w)
	}

	return nil
}

// verifyExecuteOnce sends a non-idempotent request twice with one idempotency key and verifies that it ran once
// and that both answers are equal.
func verifyExecuteOnce(ctx context.Context, out *stdlog.Logger, team *client.Client, s Service, searchers []Searcher) error {
	key, err := uuid.NewV7()
	if err != nil {
		return fmt.Errorf("make idempotency key: %w", err)
	}

	req := api.ExecuteRequest{Upstream: s.Upstream, Shard: shardName(0), Body: json.RawMessage(`"reserve camera 12"`)}

	first, err := team.Execute(ctx, key.String(), req)
	if err != nil {
		return fmt.Errorf("execute at %s: %w", s.Upstream, err)
	}

	second, err := team.Execute(ctx, key.String(), req)
	if err != nil {
		return fmt.Errorf("execute at %s again: %w", s.Upstream, err)
	}

	runs := 0
	for _, sr := range searchers {
		runs += sr.CountRuns(key.String())
	}

	if runs != 1 || !second.Repeated || !bytes.Equal(first.Answer, second.Answer) {
		return fmt.Errorf("%w: %d runs with one idempotency key, answers %s and %s", ErrWrongAnswer, runs, first.Answer, second.Answer)
	}

	out.Printf("%s: reservation sent twice with one idempotency key, ran once, both answers equal", s.Upstream)

	return nil
}
