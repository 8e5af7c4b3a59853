package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"fulmarfall/api"
	"fulmarfall/client"
	"fulmarfall/ident"
	"fulmarfall/record"

	"github.com/phuslu/log"
)

var testPlaces = []Place{{"dar", "pwani"}, {"arusha", "kaskazini"}, {"mwanza", "ziwa"}}

// startTest starts nodes, the first 3 of them voters, until the end of the test.
func startTest(t *testing.T, nodes int) *Cluster {
	t.Helper()

	configs, err := Configure(t.TempDir(), Layout{Places: testPlaces, Nodes: nodes, Voters: 3, KeepTime: time.Second})
	if err != nil {
		t.Fatalf("configure: %v", err)
	}

	logger := &log.Logger{Level: log.WarnLevel, Writer: &log.IOWriter{Writer: t.Output()}}

	c, stop, err := Start(configs, logger)
	if err != nil {
		t.Fatalf("start: %v", err)
	}

	t.Cleanup(func() {
		if err := stop(); err != nil {
			t.Errorf("stop: %v", err)
		}
	})

	return c
}

func testContext(t *testing.T) context.Context {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	t.Cleanup(cancel)

	return ctx
}

// Guards against an accepted record that does not reach every node.
func TestAcceptedRecordReachesEveryNode(t *testing.T) {
	c := startTest(t, 5)
	ctx := testContext(t)

	op, closeOp := c.Operator()
	defer closeOp()

	spec, _ := json.Marshal(record.FailureDomainV1{Region: "ziwa", InService: true})

	var err error

	if werr := WaitFor(ctx, "the record", func() bool {
		_, err = op.Put(ctx, record.KindFailureDomain, "mwanza", api.RecordChange{
			Schema: 1, Revision: 1, Operation: "op-1", Spec: spec,
		})

		return err == nil
	}); werr != nil {
		t.Fatalf("put: %v: %v", werr, err)
	}

	for _, addr := range c.Addresses() {
		node, closeNode := client.New([]string{addr}, client.WithKey(OperatorKey))
		defer closeNode()

		if err := WaitFor(ctx, fmt.Sprintf("the record at %s", addr), func() bool {
			r, err := node.Get(ctx, record.KindFailureDomain, "mwanza")

			return err == nil && r.Revision == ident.Revision(1)
		}); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a deadlock between the writer of the control state and searches, which look up members
// while they hold a read view of that state: a search would hang until its client timed out.
func TestSearchesDuringRecordChanges(t *testing.T) {
	c := startTest(t, 3)
	ctx := testContext(t)
	org := Organisation{Team: "rangers", Places: testPlaces, Services: []Service{
		{Upstream: "depot-dispatch", Shards: 2, Replicas: 2, Slots: 3, Connections: 100},
	}}

	op, closeOp := c.Operator()
	defer closeOp()

	if err := WriteRecords(ctx, op, org); err != nil {
		t.Fatal(err)
	}

	_, stop, err := StartSearchers(org, c.Addresses())
	if err != nil {
		t.Fatal(err)
	}

	defer func() {
		if err := stop(); err != nil {
			t.Error(err)
		}
	}()

	team, closeTeam := client.New(c.Addresses(), client.WithKey(TeamKey(org.Team)))
	defer closeTeam()

	if err := WaitFullCoverage(ctx, team, org); err != nil {
		t.Fatal(err)
	}

	done := make(chan struct{})

	go func() {
		defer close(done)

		for i := range 100 {
			spec := record.FailureDomainV1{Region: "ziwa", InService: true}
			if err := PutRecord(ctx, op, record.KindFailureDomain, "spare", 1, ident.Revision(i+1), spec); err != nil {
				t.Error(err)

				return
			}
		}
	}()

	for i := 0; ; i++ {
		select {
		case <-done:
			return
		default:
		}

		query := json.RawMessage(fmt.Sprintf(`"camera %d"`, i))

		a, err := team.Search(ctx, api.SearchRequest{Upstream: "depot-dispatch", Query: query, Limit: 5, TimeoutMS: 5000})
		if err != nil {
			t.Fatalf("search %d: %v", i, err)
		}

		if err := Verify(Dataset(org.Services[0]), org.Services[0].AllShards(), query, 5, a); err != nil {
			t.Errorf("search %d: %v", i, err)
		}
	}
}
