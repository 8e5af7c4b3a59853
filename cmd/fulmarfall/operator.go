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

// errSettings marks errors in a settings file, which have their own exit code.
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
	case errors.Is(err, errUnreadable):
		return exitUsage
	default:
		return exitFailure
	}
}

// target has the flags of the commands that call a running system.
type target struct {
	At      []string      `help:"Addresses of entry VMs, host:port." default:"127.0.0.1:8080" env:"FULMARFALL_AT" sep:","`
	Key     string        `help:"Bearer key of the operator or calling team." env:"FULMARFALL_KEY"`
	Timeout time.Duration `help:"Time limit of the command." default:"10s"`
}

func (t *target) call(f func(ctx context.Context, c *client.Client) (any, error)) error {
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

// Run prints the addresses that callers should use.
func (a *addressesCommand) Run() error {
	return a.call(func(ctx context.Context, c *client.Client) (any, error) { return c.Addresses(ctx) })
}

type searchCommand struct {
	target      `embed:""`
	Upstream    string        `arg:"" help:"Upstream to search."`
	Query       string        `arg:"" help:"Query: a JSON value, or text."`
	Class       string        `help:"urgent, normal or batch." default:"normal"`
	Limit       int           `help:"Maximum number of hits." default:"20"`
	Within      time.Duration `help:"Timeout of the request; 0 means the default of the upstream."`
	MinCoverage float64       `help:"Minimum share of documents that an answer must cover, 0 to 1."`
}

// Run sends a search and prints the answer.
func (s *searchCommand) Run() error {
	return s.call(func(ctx context.Context, c *client.Client) (any, error) {
		return c.Search(ctx, api.SearchRequest{
			Upstream: ident.UpstreamID(s.Upstream), Query: jsonValue(s.Query), Class: s.Class, Limit: s.Limit,
			TimeoutMS: s.Within.Milliseconds(), MinCoverage: s.MinCoverage,
		})
	})
}

// jsonValue returns an argument that is valid JSON as is, and any other as a JSON string.
func jsonValue(arg string) json.RawMessage {
	if json.Valid([]byte(arg)) {
		return json.RawMessage(arg)
	}

	// Marshalling a string cannot fail.
	data, _ := json.Marshal(arg)

	return data
}

type executeCommand struct {
	target         `embed:""`
	Upstream       string        `arg:"" help:"Upstream that runs the request."`
	Shard          string        `arg:"" help:"Shard that runs the request."`
	Body           string        `arg:"" help:"Body: a JSON value, or text."`
	Class          string        `help:"urgent, normal or batch." default:"normal"`
	Within         time.Duration `help:"Timeout of the request; 0 means the default of the upstream."`
	IdempotencyKey string        `help:"UUIDv7; if missing, a new one is generated and printed."`
}

// Run sends a non-idempotent request. It prints a generated key, so that the user can retry with it.
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

	return e.call(func(ctx context.Context, c *client.Client) (any, error) {
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
	Operation  string `help:"Operation id; use the same one to retry a change safely."`
}

// Run stores a new revision of a record.
func (p *putCommand) Run() error {
	spec, err := readSpec(p.File)
	if err != nil {
		return err
	}

	if !json.Valid(spec) {
		return fmt.Errorf("%s is not valid JSON", p.File)
	}

	return p.call(func(ctx context.Context, c *client.Client) (any, error) {
		revision, err := nextRevision(ctx, c, p.recordName, p.Revision)
		if err != nil {
			return nil, err
		}

		return c.Put(ctx, record.Kind(p.Kind), p.Name, api.RecordChange{
			Schema: record.Schema(p.Schema), Revision: revision, Operation: operationID(p.Operation), Spec: spec,
		})
	})
}

func readSpec(name string) ([]byte, error) {
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

// operationID returns the operation id of a change. A generated one is printed, so that the user can retry with it.
func operationID(id string) ident.OperationID {
	if id == "" {
		id = uuid.NewString()
		fmt.Fprintln(os.Stderr, "operation id:", id)
	}

	return ident.OperationID(id)
}

// nextRevision returns the revision that the operator named, or else the one after the current.
func nextRevision(ctx context.Context, c *client.Client, n recordName, given uint64) (ident.Revision, error) {
	if given != 0 {
		return ident.Revision(given), nil
	}

	r, err := c.Get(ctx, record.Kind(n.Kind), n.Name)

	var refused *client.RefusalError

	switch {
	case errors.As(err, &refused) && refused.Status == 404:
		return 1, nil
	case err != nil:
		return 0, fmt.Errorf("get the current revision: %w", err)
	default:
		return r.Revision + 1, nil
	}
}

type getCommand struct {
	target     `embed:""`
	recordName `embed:""`
}

// Run prints the current revision of a record.
func (g *getCommand) Run() error {
	return g.call(func(ctx context.Context, c *client.Client) (any, error) {
		return c.Get(ctx, record.Kind(g.Kind), g.Name)
	})
}

type listCommand struct {
	target `embed:""`
}

// Run prints all records.
func (l *listCommand) Run() error {
	return l.call(func(ctx context.Context, c *client.Client) (any, error) { return c.List(ctx) })
}

type withdrawCommand struct {
	target     `embed:""`
	recordName `embed:""`
	Revision   uint64 `help:"Revision of the tombstone; by default the current one plus 1."`
	Operation  string `help:"Operation id; use the same one to retry a change safely."`
}

// Run replaces a record with a tombstone.
func (w *withdrawCommand) Run() error {
	return w.call(func(ctx context.Context, c *client.Client) (any, error) {
		revision, err := nextRevision(ctx, c, w.recordName, w.Revision)
		if err != nil {
			return nil, err
		}

		return c.Withdraw(ctx, record.Kind(w.Kind), w.Name, api.RecordChange{
			Revision: revision, Operation: operationID(w.Operation),
		})
	})
}

type watchCommand struct {
	target `embed:""`
}

// watchTimeout exceeds the 25 s after which a node answers a watch without a change.
const watchTimeout = 40 * time.Second

// Run prints all records at the start and after each change, until it is interrupted.
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

// Run prints the leader's view of nodes, voters and searchers.
func (s *statusCommand) Run() error {
	return s.call(func(ctx context.Context, c *client.Client) (any, error) { return c.Status(ctx) })
}

type voterCommand struct {
	target `embed:""`
	Change string `arg:"" enum:"add_learner,promote,remove,replace" help:"add_learner, promote, remove or replace."`
	Node   string `arg:"" help:"Node id of the voter."`
}

// Run sends one change of the voter set to the leader.
func (v *voterCommand) Run() error {
	return v.call(func(ctx context.Context, c *client.Client) (any, error) {
		return c.ChangeVoters(ctx, api.VoterChange{Change: v.Change, Node: ident.NodeID(v.Node)})
	})
}
