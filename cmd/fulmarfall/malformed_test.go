package main

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/google/uuid"

	"fulmarfall/api"
	"fulmarfall/client"
	"fulmarfall/demo"
	"fulmarfall/ident"
	"fulmarfall/standin"
)

// Guards against an answer of the node processes that is made from malformed responses of searchers, and against an execution that
// runs again or is reported as not run because of one.
func TestMalformedResponses(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), processTestTimeout)
	defer cancel()

	var searchers []demo.Searcher

	p := startProcesses(ctx, t, 3, func(p *processCluster) {
		list, stop, err := demo.StartSearchers(p.org, p.addresses())
		if err != nil {
			t.Fatalf("start searchers: %v", err)
		}

		t.Cleanup(func() { _ = stop() }) // the test has its result

		searchers = list
	})

	team, closeTeam := p.team()
	defer closeTeam()

	for _, kind := range []string{
		"space in a name, head", "space before a colon, interim head", "space before a colon, trailer",
		"space before the colon of a length", "transfer coding in HTTP/1.0",
	} {
		for _, s := range searchers {
			s.UpdateBehaviour(func(b *standin.Behaviour) { b.Malformed = kind })
		}

		var (
			service = p.org.Services[0]
			refused *client.RefusalError
			key     = uuid.Must(uuid.NewV7()).String()
			runs    int
		)

		search, err := team.Search(ctx, api.SearchRequest{Upstream: service.Upstream, Query: json.RawMessage(`"a"`), Limit: 5, TimeoutMS: 200})
		if !errors.As(err, &refused) {
			t.Errorf("%s: answer to a search is %+v (%v)", kind, search, err)
		}

		answer, err := team.ExecuteAt(ctx, p.addresses()[0], key, api.ExecuteRequest{Upstream: service.Upstream, Shard: service.AllShards()[0], Body: json.RawMessage(`"a"`), TimeoutMS: 2000})
		for _, s := range searchers {
			runs += s.CountRuns(key)
		}

		if !errors.As(err, &refused) || runs != 1 || refused.Refusal.Outcome != ident.OutcomeUnknown {
			t.Errorf("%s: answer to an execution is %+v (%v) after %d runs", kind, answer, err, runs)
		}
	}
}
