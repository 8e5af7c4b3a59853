// This file routes HTTP requests and serves the pages that need no query.

package node

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"fulmarfall/api"
	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/record"
	"fulmarfall/registry"
	"fulmarfall/searcher"
	"fulmarfall/wire"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

const recordsPath = "/v1/records/"

// serveHTTP is the handler of all HTTP requests.
func (n *Node) serveHTTP(ctx *fasthttp.RequestCtx) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)

	// From the first moment of a planned stop, callers are sent away from their kept connections, so
	// that no connection is idle when the listener closes.
	if n.stageNow() != stageServing {
		ctx.SetConnectionClose()
	}

	path, method := string(ctx.Path()), string(ctx.Method())

	switch {
	case path == "/v1/search" && method == fasthttp.MethodPost:
		n.serveCaller(ctx, n.serveSearch)
	case path == "/v1/execute" && method == fasthttp.MethodPost:
		n.serveCaller(ctx, n.serveExecute)
	case path == "/v1/addresses" && method == fasthttp.MethodGet:
		a := n.addresses(ctx.RemoteIP().String())
		writeJSON(ctx, fasthttp.StatusOK, api.Addresses{Addresses: a.Addresses, KeepSeconds: a.KeepSeconds})
	case path == "/v1/announce" && method == fasthttp.MethodPost:
		n.serveAnnounceHTTP(ctx)
	case path == "/metrics" && method == fasthttp.MethodGet:
		n.serveMetrics(ctx)
	case path == "/v1/records" || strings.HasPrefix(path, recordsPath) || path == "/v1/watch" ||
		strings.HasPrefix(path, "/v1/status") || strings.HasPrefix(path, "/v1/voters"):
		n.serveOperator(ctx, path, method)
	default:
		n.refuse(ctx, "", notRun(ident.ReasonBadRequest, 0, "%s %s is not served", method, path))
	}
}

// serveCaller checks the node and the team before a request of a caller.
func (n *Node) serveCaller(ctx *fasthttp.RequestCtx, serve func(*fasthttp.RequestCtx, ident.TeamID)) {
	if r := n.mayServe(); r != nil {
		n.refuse(ctx, "", r)

		return
	}

	team, r := n.authenticate(ctx)
	if r != nil {
		n.refuse(ctx, "", r)

		return
	}

	serve(ctx, team)
}

// serveHTTPError answers a request that could not be read.
func (n *Node) serveHTTPError(ctx *fasthttp.RequestCtx, err error) {
	r := notRun(ident.ReasonBadRequest, 0, "request cannot be read: %v", err)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		r = notRun(ident.ReasonTooLarge, 0, "body is larger than %d bytes", n.cfg.MaxBodyBytes)
	}

	n.refuse(ctx, "", r)
}

func bearer(ctx *fasthttp.RequestCtx) (string, bool) {
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek("Authorization")), "Bearer ")

	return key, ok && key != ""
}

func (n *Node) serveMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBody(n.meters.Page())
}

// announceEvery is how often a searcher announces itself.
const announceEvery = time.Second

// serveAnnounceHTTP takes the announcement of a searcher.
func (n *Node) serveAnnounceHTTP(ctx *fasthttp.RequestCtx) {
	a, r := parseAnnouncement(ctx.PostBody())
	if r != nil {
		n.refuse(ctx, "", r)

		return
	}

	key, _ := bearer(ctx)

	var valid, known bool

	n.state.View(func(v control.View) {
		valid = v.Records().AnnounceKeyValid(a.Upstream, key)
		_, known = v.Records().Upstream(a.Upstream)
	})

	switch {
	case !known:
		r = notRun(ident.ReasonUnknownUpstream, announceEvery, "upstream %q has no record", a.Upstream)
	case !valid:
		r = notRun(ident.ReasonUnauthenticated, 0, "the key may not announce searchers of upstream %q", a.Upstream)
	default:
		r = announcementRefusal(n.takeAnnouncement(a))
	}

	if r != nil {
		n.refuse(ctx, "", r)

		return
	}

	writeJSON(ctx, fasthttp.StatusOK, api.AnnouncementAnswer{Accepted: true, NextMS: announceEvery.Milliseconds()})
}

// serveOperator checks the operator's key and serves records, status and voters.
func (n *Node) serveOperator(ctx *fasthttp.RequestCtx, path, method string) {
	key, _ := bearer(ctx)
	if !n.operatorKey(key) {
		n.refuse(ctx, "", notRun(ident.ReasonUnauthenticated, 0, "header Authorization: Bearer with an operator's key is missing or wrong"))

		return
	}

	switch {
	case path == "/v1/status" && method == fasthttp.MethodGet:
		n.serveStatusHTTP(ctx)
	case path == "/v1/records" && method == fasthttp.MethodGet:
		n.serveList(ctx)
	case path == "/v1/watch" && method == fasthttp.MethodGet:
		n.serveWatch(ctx)
	case strings.HasPrefix(path, "/v1/voters") && method == fasthttp.MethodPost:
		n.serveVoters(ctx)
	case strings.HasPrefix(path, recordsPath):
		kind, name, ok := strings.Cut(strings.TrimPrefix(path, recordsPath), "/")
		if !ok {
			n.refuse(ctx, "", notRun(ident.ReasonBadRequest, 0, "path is not %skind/name", recordsPath))

			return
		}

		n.serveRecord(ctx, method, record.Kind(kind), name)
	default:
		n.refuse(ctx, "", notRun(ident.ReasonBadRequest, 0, "%s %s is not served", method, path))
	}
}

func (n *Node) operatorKey(key string) bool {
	for i := range n.cfg.OperatorKeys {
		if n.cfg.OperatorKeys[i].Hash.Matches(key) {
			return true
		}
	}

	return false
}

func parseAnnouncement(body []byte) (*registry.Announcement, *refusal) {
	var b api.Announcement
	if err := decodeStrict(body, &b); err != nil {
		return nil, notRun(ident.ReasonBadRequest, 0, "%v", err)
	}

	a, err := announcementOf(&b)
	if err != nil {
		return nil, notRun(ident.ReasonBadRequest, 0, "announcement: %v", err)
	}

	return a, nil
}

// announcementOf turns the public form of an announcement into that of the registry. Each held shard is
// copied once, even if its snapshot is listed several times: the sender is not authenticated yet, and
// its body must not grow by the conversion. Validate refuses such a list.
func announcementOf(b *api.Announcement) (*registry.Announcement, error) {
	a := &registry.Announcement{
		Upstream: b.Upstream, Searcher: b.Searcher, Incarnation: b.Incarnation, Address: b.Address,
		FailureDomain: b.FailureDomain, Region: b.Region, Slots: b.Slots, Connections: b.Connections,
		Cold: b.Cold, ColdRatePerSecond: b.ColdRatePerSecond, Leaving: b.Leaving,
	}
	index := make(map[ident.SnapshotID]int, len(b.Snapshots))

	for i, s := range b.Snapshots {
		snapshot := registry.Snapshot{ID: s.Snapshot}
		for _, sh := range s.Shards {
			snapshot.Shards = append(snapshot.Shards, registry.Shard{ID: sh.Shard, Documents: sh.Documents})
		}

		a.Snapshots = append(a.Snapshots, snapshot)
		index[s.Snapshot] = i
	}

	for i, h := range b.Held {
		at, ok := index[h.Snapshot]
		if !ok {
			return nil, fmt.Errorf("held[%d].snapshot: %d is not in snapshots", i, h.Snapshot)
		}

		a.Snapshots[at].Held = append(a.Snapshots[at].Held, h.Shards...)
	}

	return a, nil
}

// announcementRefusal tells a searcher whether to correct its announcement or to try another node.
func announcementRefusal(err error) *refusal {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errControlUnreachable), errors.Is(err, errOutcomeUnknown):
		return notRun(ident.ReasonControlUnreached, announceEvery, "%v", err)
	default:
		return notRun(ident.ReasonBadRequest, announceEvery, "%v", err)
	}
}

// takeAnnouncement passes an announcement to the searcher's owner, and what changed to the leader.
func (n *Node) takeAnnouncement(a *registry.Announcement) error {
	if err := a.Validate(); err != nil {
		return fmt.Errorf("announcement: %w", err)
	}

	var (
		owner   ident.NodeID
		changes bool
		reduced registry.Announcement
	)

	n.state.View(func(v control.View) {
		changes = v.Registry().Changes(a)
		if changes {
			reduced = v.Registry().Reduce(*a)
		}

		if s, ok := v.Registry().Searcher(a.Searcher); ok {
			owner = s.Owner
		}
	})

	if changes {
		if err := n.register(reduced); err != nil {
			return err
		}
	}

	n.tellOwner(owner, a)

	return nil
}

// tellOwner gives an announcement to the gate of the owner, wherever that is.
func (n *Node) tellOwner(owner ident.NodeID, a *registry.Announcement) {
	if owner == n.cfg.ID {
		n.heard(a)

		return
	}

	m, ok := n.member(owner)
	if !ok {
		return
	}

	data, err := json.Marshal(a)
	if err != nil {
		return
	}

	n.transport.Send(owner, m.QUICAddress, &wire.Announce{Data: data})
}

func (n *Node) heard(a *registry.Announcement) {
	if o := n.owned.get(a.Searcher); o != nil {
		o.announce(time.Now(), searcher.Announcement{
			Incarnation: a.Incarnation, Slots: int(a.Slots), Connections: int(a.Connections),
			Cold: a.Cold, ColdRatePerSecond: float64(a.ColdRatePerSecond), Leaving: a.Leaving,
		}, a.Address)
	}
}

// serveAnnounce takes a relayed announcement at the owner.
func (n *Node) serveAnnounce(m *wire.Announce) wire.Message {
	var a registry.Announcement
	if err := errors.Join(decodeStrict(m.Data, &a), a.Validate()); err != nil {
		return &wire.Announced{Error: err.Error()}
	}

	n.heard(&a)

	return &wire.Announced{OK: true}
}

// announceTable keeps a node from proposing the same change for every announcement while the first
// proposal is under way.
type announceTable struct {
	mu   sync.Mutex
	busy map[ident.SearcherID]struct{}
}

func (t *announceTable) begin(id ident.SearcherID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if _, busy := t.busy[id]; busy {
		return false
	}

	if t.busy == nil {
		t.busy = make(map[ident.SearcherID]struct{})
	}

	t.busy[id] = struct{}{}

	return true
}

func (t *announceTable) end(id ident.SearcherID) {
	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.busy, id)
}

// register proposes a changed announcement and waits for the result, so that a conflicting one is
// answered with an error.
func (n *Node) register(a registry.Announcement) error {
	if !n.announces.begin(a.Searcher) {
		return nil
	}
	defer n.announces.end(a.Searcher)

	ctx, cancel := context.WithTimeout(n.ctx, proposeTimeout)
	defer cancel()

	result, err := n.propose(ctx, control.RegisterSearcher{Announcement: a})
	if err != nil {
		return fmt.Errorf("register searcher: %w", err)
	}

	if r, ok := result.(control.RegistryResult); ok && r.Refusal != "" {
		return fmt.Errorf("register searcher: %s", r.Refusal)
	}

	n.wakeRenew()

	return nil
}
