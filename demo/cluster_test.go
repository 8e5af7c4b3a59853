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

// startTest runs a small system for a test.
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
		one, closeOne := client.New([]string{addr}, client.WithKey(OperatorKey))
		defer closeOne()

		if err := WaitFor(ctx, fmt.Sprintf("the record at %s", addr), func() bool {
			r, err := one.Get(ctx, record.KindFailureDomain, "mwanza")

			return err == nil && r.Revision == ident.Revision(1)
		}); err != nil {
			t.Error(err)
		}
	}
}
