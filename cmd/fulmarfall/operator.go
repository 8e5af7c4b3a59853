// This file holds the commands of operators and callers, which talk to a running system over HTTP.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"fulmarfall/api"
	"fulmarfall/client"
	"fulmarfall/ident"
	"fulmarfall/record"
)

// errSettings marks faults of a settings file.
var errSettings = errors.New("settings are not valid")

func exitCode(err error) int {
	var (
		refused  *client.RefusalError
		conflict *client.ConflictError
	)

	switch {
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &refused):
		return exitRefused
	case errors.Is(err, errSettings):
		return exitSettings
	default:
		return exitFailure
	}
}

// target names the system and the key of a command.
type target struct {
	At      []string      `help:"Addresses of entry VMs, host:port." default:"127.0.0.1:8080" env:"FULMARFALL_AT" sep:","`
	Key     string        `help:"Bearer key of the operator or calling team." env:"FULMARFALL_KEY"`
	Timeout time.Duration `help:"Time limit of the command." default:"10s"`
}

func (t *target) do(f func(ctx context.Context, c *client.Client) (any, error)) error {
	c, cleanup := client.New(t.At, client.WithKey(t.Key))
	defer cleanup()

	ctx, cancel := context.WithTimeout(context.Background(), t.Timeout)
	defer cancel()

	answer, err := f(ctx, c)
	if err != nil {
		return err
	}

	return printJSON(os.Stdout, answer)
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")

	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("print answer: %w", err)
	}

	return nil
}

type addressesCommand struct {
	target `embed:""`
}

// Run asks for addresses.
func (a *addressesCommand) Run() error {
	return a.do(func(ctx context.Context, c *client.Client) (any, error) { return c.Addresses(ctx) })
}

type searchCommand struct {
	target      `embed:""`
	Upstream    string        `arg:"" help:"Upstream to search."`
	Query       string        `arg:"" help:"Query: a JSON value, or text."`
	Class       string        `help:"urgent, normal or batch." default:"normal"`
	Limit       int           `help:"Largest number of hits." default:"20"`
	Within      time.Duration `help:"Time within which the answer is wanted; 0 means the default of the upstream."`
	MinCoverage float64       `help:"Smallest accepted share of documents, 0 to 1."`
}

// Run sends a search.
func (s *searchCommand) Run() error {
	return s.do(func(ctx context.Context, c *client.Client) (any, error) {
		return c.Search(ctx, api.SearchRequest{
			Upstream: ident.UpstreamID(s.Upstream), Query: jsonValue(s.Query), Class: s.Class, Limit: s.Limit,
			TimeoutMS: s.Within.Milliseconds(), MinCoverage: s.MinCoverage,
		})
	})
}

// jsonValue takes an argument as a JSON value, and anything else as a text.
func jsonValue(arg string) json.RawMessage {
	if json.Valid([]byte(arg)) {
		return json.RawMessage(arg)
	}

	// A string always has an encoding.
	data, _ := json.Marshal(arg)

	return data
}

type executeCommand struct {
	target         `embed:""`
	Upstream       string        `arg:"" help:"Upstream that runs the request."`
	Shard          string        `arg:"" help:"Shard that runs the request."`
	Body           string        `arg:"" help:"Body: a JSON value, or text."`
	Class          string        `help:"urgent, normal or batch." default:"normal"`
	Within         time.Duration `help:"Time within which the answer is wanted; 0 means the default of the upstream."`
	IdempotencyKey string        `help:"UUIDv7; a new one is made and printed if it is missing."`
}

// Run sends a non-idempotent request.
func (e *executeCommand) Run() error {
	key := e.IdempotencyKey
	if key == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return fmt.Errorf("make idempotency key: %w", err)
		}

		key = id.String()
		fmt.Fprintln(os.Stderr, "idempotency key:", key)
	}

	return e.do(func(ctx context.Context, c *client.Client) (any, error) {
		return c.Execute(ctx, key, api.ExecuteRequest{
			Upstream: ident.UpstreamID(e.Upstream), Shard: ident.ShardID(e.Shard), Body: jsonValue(e.Body), Class: e.Class,
			TimeoutMS: e.Within.Milliseconds(),
		})
	})
}

type recordName struct {
	Kind string `arg:"" help:"upstream, calling_team, approval, failure_domain or setting."`
	Name string `arg:"" help:"Name of the record; an approval is named upstream.team."`
}

type putCommand struct {
	target     `embed:""`
	recordName `embed:""`
	File       string `arg:"" help:"File with the spec as JSON; - is standard input."`
	Schema     uint32 `help:"Schema version of the spec." default:"1"`
	Revision   uint64 `help:"Revision to store; by default the current one plus 1."`
	Operation  string `help:"Operation id; name the same one to send a change again."`
}

// Run stores a record.
func (p *putCommand) Run() error {
	spec, err := readFile(p.File)
	if err != nil {
		return err
	}

	if !json.Valid(spec) {
		return fmt.Errorf("%s is not valid JSON", p.File)
	}

	return p.do(func(ctx context.Context, c *client.Client) (any, error) {
		revision, err := nextRevision(ctx, c, p.recordName, p.Revision)
		if err != nil {
			return nil, err
		}

		return c.Put(ctx, record.Kind(p.Kind), p.Name, api.RecordChange{
			Schema: record.Schema(p.Schema), Revision: revision, Operation: operation(p.Operation), Spec: spec,
		})
	})
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}

		return data, nil
	}

	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read spec: %w", err)
	}

	return data, nil
}

// operation returns the id of a change; a new one is printed so that the change can be sent again.
func operation(id string) ident.OperationID {
	if id == "" {
		id = uuid.NewString()
		fmt.Fprintln(os.Stderr, "operation id:", id)
	}

	return ident.OperationID(id)
}

// nextRevision asks for the current revision if the operator did not name one.
func nextRevision(ctx context.Context, c *client.Client, n recordName, named uint64) (ident.Revision, error) {
	if named != 0 {
		return ident.Revision(named), nil
	}

	r, err := c.Get(ctx, record.Kind(n.Kind), n.Name)

	var refused *client.RefusalError

	switch {
	case errors.As(err, &refused) && refused.Status == 404:
		return 1, nil
	case err != nil:
		return 0, fmt.Errorf("ask for the current revision: %w", err)
	default:
		return r.Revision + 1, nil
	}
}

type getCommand struct {
	target     `embed:""`
	recordName `embed:""`
}

// Run shows a record.
func (g *getCommand) Run() error {
	return g.do(func(ctx context.Context, c *client.Client) (any, error) {
		return c.Get(ctx, record.Kind(g.Kind), g.Name)
	})
}

type listCommand struct {
	target `embed:""`
}

// Run lists all records.
func (l *listCommand) Run() error {
	return l.do(func(ctx context.Context, c *client.Client) (any, error) { return c.List(ctx) })
}

type withdrawCommand struct {
	target     `embed:""`
	recordName `embed:""`
	Revision   uint64 `help:"Revision of the tombstone; by default the current one plus 1."`
	Operation  string `help:"Operation id; name the same one to send a change again."`
}

// Run withdraws a record.
func (w *withdrawCommand) Run() error {
	return w.do(func(ctx context.Context, c *client.Client) (any, error) {
		revision, err := nextRevision(ctx, c, w.recordName, w.Revision)
		if err != nil {
			return nil, err
		}

		return c.Withdraw(ctx, record.Kind(w.Kind), w.Name, api.RecordChange{
			Revision: revision, Operation: operation(w.Operation),
		})
	})
}

type watchCommand struct {
	target `embed:""`
}

// watchTimeout is longer than the system holds one watch.
const watchTimeout = 40 * time.Second

// Run prints the records now and after each change, until it is interrupted.
func (w *watchCommand) Run() error {
	c, cleanup := client.New(w.At, client.WithKey(w.Key))
	defer cleanup()

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()

	list, err := c.List(ctx)

	for err == nil {
		if err := printJSON(os.Stdout, list); err != nil {
			return err
		}

		list, err = watchOnce(ctx, c, list.Index)
		if ctx.Err() != nil {
			return nil
		}
	}

	return err
}

func watchOnce(ctx context.Context, c *client.Client, after uint64) (api.RecordList, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()

	return c.Watch(ctx, after)
}

type statusCommand struct {
	target `embed:""`
}

// Run shows the status.
func (s *statusCommand) Run() error {
	return s.do(func(ctx context.Context, c *client.Client) (any, error) { return c.Status(ctx) })
}

type voterCommand struct {
	target `embed:""`
	Change string `arg:"" enum:"add_learner,promote,remove,replace" help:"add_learner, promote, remove or replace."`
	Node   string `arg:"" help:"Node id of the voter."`
}

// Run changes the voter set.
func (v *voterCommand) Run() error {
	return v.do(func(ctx context.Context, c *client.Client) (any, error) {
		return c.ChangeVoters(ctx, api.VoterChange{Change: v.Change, Node: ident.NodeID(v.Node)})
	})
}
