package node

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"fulmarfall/api"
	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/metrics"
	"fulmarfall/record"
	"fulmarfall/registry"
	"fulmarfall/searcher"
	"fulmarfall/wire"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"
)

var inputLimits = requestLimits{hits: 10, timeout: time.Second}

const (
	goodSearch       = `{"upstream":"desk","query":{"b":[1,2.50],"a":"<"},"class":"batch","limit":10,"timeout_ms":1000,"min_coverage":1}`
	goodExecute      = `{"upstream":"desk","shard":"a","body":{"x":1}}`
	goodKey          = "01890a5d-ac96-774b-bcce-b302099a8057"
	goodAnnouncement = `{"upstream":"desk","searcher":"s1","incarnation":1,"address":"127.0.0.1:9","failure_domain":"dar","region":"pwani","slots":2,"connections":25,"snapshots":[{"snapshot":1,"shards":[{"shard":"a","documents":5}]}],"held":[{"snapshot":1,"shards":["a"]}]}`
	goodChange       = `{"schema":1,"revision":1,"operation_id":"op-1","spec":{"region":"pwani","in_service":true}}`
)

func executeOf(key, body string) *refusal {
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.Set("Idempotency-Key", key)
	ctx.Request.SetBodyString(body)
	_, r := parseExecute(ctx, "team", time.Unix(1, 0), inputLimits)
	return r
}

func search(body []byte) (*call, *refusal) { return parseSearch(body, time.Unix(1, 0), inputLimits) }

// announce parses and validates an announcement, as handleAnnouncement does before it accesses the node.
func announce(body []byte) (a *registry.Announcement, r *refusal) {
	if a, r = parseAnnouncement(body); r == nil && a.Validate() != nil {
		r = notRun(ident.ReasonBadRequest, 0, "%v", (&Node{}).handleAnnouncement(a))
	}
	return a, r
}

func change(body []byte) (control.Command, *refusal) {
	return parseChange(body, "PUT", record.KindFailureDomain, "dar")
}

// Guards against invalid input that is accepted, or refused with a message that does not name the invalid field.
func TestBadInputNamesTheField(t *testing.T) {
	parsers := []struct {
		good  string
		parse func(string) *refusal
		bad   []string // triples: part of the good input, its replacement, part of the expected message
	}{
		{goodSearch, func(s string) *refusal { _, r := search([]byte(s)); return r }, []string{
			goodSearch, "", "body is not valid", goodSearch, "[]", "body is not valid", `"min_coverage":1}`, `"min_coverage":1}{}`, "data after the JSON value",
			`"limit"`, `"limits"`, `unknown field "limits"`, `"limit":10`, `"limit":"10"`, "limit", `"limit":10`, `"limit":11`, "limit is 11, want 1 to 10", `"limit":10`, `"limit":-1`, "limit is -1",
			`"limit":10`, `"limit":99999999999999999999`, "limit", `1000`, `1`, "timeout_ms is 1, want 2 to 1000", `1000`, `1001`, "timeout_ms is 1001", `1000`, `-5`, "timeout_ms is -5",
			`1000`, `9223372036854775807`, "timeout_ms is 9223372036854775807", `"min_coverage":1`, `"min_coverage":1.01`, "min_coverage is 1.01",
			`"min_coverage":1`, `"min_coverage":-0.1`, "min_coverage is -0.1", `batch`, `bulk`, `class "bulk"`, `"desk"`, `""`, "upstream is missing",
			`"query":{"b":[1,2.50],"a":"<"},`, ``, "query is missing",
		}},
		{goodExecute, func(s string) *refusal { return executeOf(goodKey, s) }, []string{
			goodExecute, `{"upstream"`, "body is not valid", `"x":1`, `"x":`, "body is not valid", `"shard":"a",`, ``, "shard is missing", `"upstream":"desk",`, ``, "upstream is missing",
			`,"body":{"x":1}`, ``, "body is missing", `"shard"`, `"class":"slow","shard"`, `class "slow"`, `"shard"`, `"timeout_ms":5000,"shard"`, "timeout_ms is 5000",
			`"shard"`, `"limit":1,"shard"`, `unknown field "limit"`,
		}},
		{goodKey, func(s string) *refusal { return executeOf(s, goodExecute) }, []string{goodKey, "", "Idempotency-Key is missing", goodKey, "7", "Idempotency-Key is not a UUIDv7", "-774b", "-474b", "is not a UUIDv7"}},
		{goodAnnouncement, func(s string) *refusal { _, r := announce([]byte(s)); return r }, []string{
			`"slots":2`, `"slots":-2`, "slots", `"slots":2`, `"slots":0`, "slots: 0 is outside", `"slots"`, `"slot"`, `unknown field "slot"`,
			`"connections":25`, `"connections":0`, "connections: 0 is outside", `"incarnation":1`, `"incarnation":0`, "incarnation: 0 is outside",
			`127.0.0.1:9`, `localhost:9`, `address: "localhost:9"`, `"desk"`, `"a desk"`, "upstream: ", `"s1"`, `""`, "searcher: ", `"dar"`, `"/"`, "failure_domain: ", `"pwani"`, `"é"`, "region: ",
			`"snapshot":1`, `"snapshot":0`, "snapshots[0]", `"shard":"a"`, `"shard":""`, "snapshots[0].shards[0]",
			`"documents":5`, `"documents":18446744073709551615`, "snapshots[0].shards[0].documents", `["a"]`, `["a","a"]`, "snapshots[0].held[1]",
			`"held":[{"snapshot":1`, `"held":[{"snapshot":2`, "held[0].snapshot: 2 is not in snapshots", `}]}],"held"`, `}]},{"snapshot":1}],"held"`, "snapshots[1]",
		}},
		{goodChange, func(s string) *refusal { _, r := change([]byte(s)); return r }, []string{
			`"revision":1`, `"revision":-1`, "revision", `"revision":1`, `"revision":0`, "revision", `"op-1"`, `""`, "operation", `"in_service"`, `"in_servic"`, "in_servic",
			`"spec"`, `"specs"`, `unknown field "specs"`,
		}},
	}
	for _, p := range parsers {
		if r := p.parse(p.good); r != nil {
			t.Errorf("%s is refused: %s", p.good, r.message)
		}
		for c := range slices.Chunk(p.bad, 3) {
			r := p.parse(strings.ReplaceAll(p.good, c[0], c[1]))
			if r == nil || r.reason != ident.ReasonBadRequest || r.outcome != ident.OutcomeNotRun || !strings.Contains(r.message, c[2]) {
				t.Errorf("%s as %s gives %+v, want a bad request with %q", c[0], c[1], r, c[2])
			}
		}
	}
	for _, query := range []string{"", "{", "01", `{"a":}`} {
		if out, err := canonicalJSON(json.RawMessage(query)); err == nil {
			t.Errorf("query %q is accepted as %s", query, out)
		}
	}
}

// fuzz checks that a parser either refuses with reason bad_request and a message, or returns a value that passes check.
func fuzz[T any](f *testing.F, parse func([]byte) (T, *refusal), check func(*testing.T, []byte, T), seeds ...string) {
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		v, r := parse(body)
		if r == nil {
			check(t, body, v)
		} else if r.reason != ident.ReasonBadRequest || r.outcome != ident.OutcomeNotRun || r.message == "" {
			t.Errorf("refusal is %+v, want bad_request with outcome not_run and a message", r)
		}
	})
}

// Guards against searches outside the limits that are accepted, and against a canonical encoding that is not idempotent.
func FuzzParseSearch(f *testing.F) {
	fuzz(f, search, func(t *testing.T, _ []byte, c *call) {
		timeout := c.req.Deadline.Sub(time.Unix(1, 0))
		if c.req.Limit < 1 || c.req.Limit > 10 || c.req.MinCoverage < 0 || c.req.MinCoverage > 1 || c.req.Upstream == "" ||
			!c.req.Deadline.IsZero() && (timeout < minTimeout || timeout > time.Second) {
			t.Errorf("request is outside the limits: %+v", c.req)
		}
		if again, err := canonicalJSON(c.body); err != nil || !bytes.Equal(again, c.body) {
			t.Errorf("canonical query %s is re-encoded as %s, error %v", c.body, again, err)
		}
	}, goodSearch, `{"upstream":"u","query":null}`, `{"upstream":"u","query":"\ud800"}`, `{}`, `[`, ``)
}

// Guards against a conversion that copies shards several times, and against valid announcements that change when they are
// relayed to the owner.
func FuzzAnnouncement(f *testing.F) {
	repeated := `{"snapshots":[{}` + strings.Repeat(`,{}`, 40) + `],"held":[{"shards":["a"` + strings.Repeat(`,"a"`, 40) + `]}]}`
	fuzz(f, parseAnnouncement, func(t *testing.T, body []byte, a *registry.Announcement) {
		held := 0
		for i := range a.Snapshots {
			held += len(a.Snapshots[i].Held)
		}
		if maxHeld := bytes.Count(body, []byte(",")) + 1; held > maxHeld {
			t.Errorf("%d held shards from a body with at most %d", held, maxHeld)
		}
		data, _ := json.Marshal(a)
		var relayed registry.Announcement
		if err := decodeStrict(data, &relayed); a.Validate() == nil && (err != nil || !cmp.Equal(*a, relayed)) {
			t.Errorf("announcement %s is decoded as %+v, error %v", data, relayed, err)
		}
	}, goodAnnouncement, repeated, `{"held":[{"snapshot":1}]}`, `{"slots":-1}`, ``)
}

// Guards against record changes that differ after encoding and decoding.
func FuzzRecordChange(f *testing.F) {
	fuzz(f, change, func(t *testing.T, _ []byte, c control.Command) {
		data, _ := control.EncodeCommand(time.Unix(1, 0), c)
		if _, decoded, err := control.DecodeCommand(data); err != nil || !cmp.Equal(decoded, c) {
			t.Errorf("command %+v is decoded as %+v, error %v", c, decoded, err)
		}
	}, goodChange, `{"revision":2,"operation_id":"x"}`, `{"schema":9,"revision":1,"operation_id":"o","spec":[]}`, `{`)
}

// Guards against a response that is attributed to another attempt or wrongly counted as not run, and against panics on
// malformed responses.
func FuzzTranslate(f *testing.F) {
	f.Add(200, `{"request_id":"r","attempt":1,"shard":"a","snapshot":2,"hits":[{"id":"x","score":1,"document":{}}]}`)
	f.Add(200, `{"request_id":"other","attempt":1,"shard":"a","snapshot":2}`)
	f.Add(503, `{"started":false,"reason":"shed"}`)
	f.Add(410, `{}`)
	f.Add(500, `null`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		req := &wire.ShardRequest{RequestID: "r", Attempt: 1, Shard: "a", Snapshot: 2}
		resp := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(resp)
		resp.SetStatusCode(status)
		resp.SetBodyString(body)

		reply, outcome := translate(req, resp)
		if (reply.Status == wire.ShardAnswered) != (outcome.Kind == searcher.OK) {
			t.Errorf("status %d is inconsistent with outcome %d", reply.Status, outcome.Kind)
		}
		if reply.Status == wire.ShardAnswered && status != fasthttp.StatusOK {
			t.Errorf("reply with HTTP status %d is translated as answered", status)
		}
		if reply.Status == wire.ShardNotRun && status != fasthttp.StatusServiceUnavailable && status != fasthttp.StatusGone {
			t.Errorf("reply with HTTP status %d is translated as not run", status)
		}
	})
}

// Guards against unreadable, unknown or unauthorised requests that are not answered with the right status and reason.
func TestRequestsThatAreNotServed(t *testing.T) {
	meters, closeMeters := metrics.New()
	t.Cleanup(func() {
		if err := closeMeters(); err != nil {
			t.Error(err)
		}
	})

	n := &Node{cfg: Config{MaxBodyBytes: 10}, meters: meters}
	tests := map[string]struct {
		serve  func(ctx *fasthttp.RequestCtx)
		status int
		reason ident.Reason
	}{
		"oversized body":  {func(ctx *fasthttp.RequestCtx) { n.serveHTTPError(ctx, fasthttp.ErrBodyTooLarge) }, 413, ident.ReasonTooLarge},
		"broken request":  {func(ctx *fasthttp.RequestCtx) { n.serveHTTPError(ctx, io.ErrUnexpectedEOF) }, 400, ident.ReasonBadRequest},
		"unknown path":    {func(ctx *fasthttp.RequestCtx) { ctx.Request.SetRequestURI("/v2/search"); n.serveHTTP(ctx) }, 400, ident.ReasonBadRequest},
		"no operator key": {func(ctx *fasthttp.RequestCtx) { ctx.Request.SetRequestURI("/v1/records"); n.serveHTTP(ctx) }, 401, ident.ReasonUnauthenticated},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var ctx fasthttp.RequestCtx
			tc.serve(&ctx)

			var got api.Refusal
			if err := json.Unmarshal(ctx.Response.Body(), &got); err != nil {
				t.Fatalf("body %q: %v", ctx.Response.Body(), err)
			}
			if ctx.Response.StatusCode() != tc.status || got.Reason != tc.reason || got.Outcome != ident.OutcomeNotRun {
				t.Errorf("status %d, %+v; want %d, %s, not run", ctx.Response.StatusCode(), got, tc.status, tc.reason)
			}
		})
	}
}
