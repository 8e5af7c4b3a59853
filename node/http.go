// HTTP routing, and the handlers that run no query.

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

// serveHTTP routes all HTTP requests and counts those in flight.
func (n *Node) serveHTTP(ctx *fasthttp.RequestCtx) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)

	// Disable keep-alive as soon as a planned stop begins, so that no idle connections remain when the listener
	// closes.
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

// serveCaller calls serve if the node accepts requests and the calling team is authenticated.
func (n *Node) serveCaller(ctx *fasthttp.RequestCtx, serve func(*fasthttp.RequestCtx, ident.TeamID)) {
	if r := n.checkServing(); r != nil {
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

// serveHTTPError answers requests that fasthttp could not read.
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

// announceInterval is the interval at which searchers are asked to announce themselves.
const announceInterval = time.Second

// serveAnnounceHTTP handles POST /v1/announce.
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
		r = notRun(ident.ReasonUnknownUpstream, announceInterval, "upstream %q has no record", a.Upstream)
	case !valid:
		r = notRun(ident.ReasonUnauthenticated, 0, "the key may not announce searchers of upstream %q", a.Upstream)
	default:
		r = announcementRefusal(n.handleAnnouncement(a))
	}

	if r != nil {
		n.refuse(ctx, "", r)

		return
	}

	writeJSON(ctx, fasthttp.StatusOK, api.AnnouncementAnswer{Accepted: true, NextMS: announceInterval.Milliseconds()})
}

// serveOperator authenticates the operator and serves records, status and voter changes.
func (n *Node) serveOperator(ctx *fasthttp.RequestCtx, path, method string) {
	key, _ := bearer(ctx)
	if !n.isOperatorKey(key) {
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

func (n *Node) isOperatorKey(key string) bool {
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

// announcementOf converts an announcement from its API form. Each held shard is copied only once, even if its snapshot is
// listed several times: the sender is not yet authenticated, so the conversion must not amplify the body. Validate
// rejects lists with duplicates.
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

// announcementRefusal maps an error to a refusal from which the searcher can tell whether to correct its announcement or
// to try another node.
func announcementRefusal(err error) *refusal {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errControlUnreachable), errors.Is(err, errOutcomeUnknown):
		return notRun(ident.ReasonControlUnreachable, announceInterval, "%v", err)
	default:
		return notRun(ident.ReasonBadRequest, announceInterval, "%v", err)
	}
}

// handleAnnouncement forwards an announcement to the searcher's owner, and proposes it to the leader if it changes the
// registry.
func (n *Node) handleAnnouncement(a *registry.Announcement) error {
	if err := a.Validate(); err != nil {
		return fmt.Errorf("announcement: %w", err)
	}

	var (
		owner   ident.NodeID
		changes bool
		reduced registry.Announcement
	)

	n.state.View(func(v control.View) {
		changes = v.Registry().WouldChange(a)
		if changes {
			reduced = v.Registry().OmitStoredShardLists(*a)
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

	n.forwardToOwner(owner, a)

	return nil
}

// forwardToOwner delivers an announcement to the owner's gate, on this node or another. Delivery is best effort, because
// the searcher announces itself again after announceInterval.
func (n *Node) forwardToOwner(owner ident.NodeID, a *registry.Announcement) {
	if owner == n.cfg.ID {
		n.announceToGate(a)

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

func (n *Node) announceToGate(a *registry.Announcement) {
	if o := n.owned.get(a.Searcher); o != nil {
		o.applyAnnouncement(time.Now(), searcher.Announcement{
			Incarnation: a.Incarnation, Slots: int(a.Slots), Connections: int(a.Connections),
			Cold: a.Cold, ColdRatePerSecond: float64(a.ColdRatePerSecond), Leaving: a.Leaving,
		}, a.Address)
	}
}

// serveAnnounce handles an announcement that another node forwarded to this node as the owner.
func (n *Node) serveAnnounce(m *wire.Announce) wire.Message {
	var a registry.Announcement
	if err := errors.Join(decodeStrict(m.Data, &a), a.Validate()); err != nil {
		return &wire.Announced{Error: err.Error()}
	}

	n.announceToGate(&a)

	return &wire.Announced{OK: true}
}

// registrationTable tracks the searchers with a registration proposal in flight. It prevents a node from proposing the same
// change again for each announcement that arrives in the meantime.
type registrationTable struct {
	mu       sync.Mutex
	inFlight map[ident.SearcherID]struct{}
}

func (t *registrationTable) begin(id ident.SearcherID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	if _, busy := t.inFlight[id]; busy {
		return false
	}

	if t.inFlight == nil {
		t.inFlight = make(map[ident.SearcherID]struct{})
	}

	t.inFlight[id] = struct{}{}

	return true
}

func (t *registrationTable) end(id ident.SearcherID) {
	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.inFlight, id)
}

// register proposes a changed announcement and waits for the result, so that the sender of a conflicting announcement
// receives an error. It does nothing while an earlier registration of the searcher is in flight.
func (n *Node) register(a registry.Announcement) error {
	if !n.registrations.begin(a.Searcher) {
		return nil
	}
	defer n.registrations.end(a.Searcher)

	ctx, cancel := context.WithTimeout(n.ctx, proposeTimeout)
	defer cancel()

	result, err := n.propose(ctx, control.RegisterSearcher{Announcement: a})
	if err != nil {
		return fmt.Errorf("register searcher: %w", err)
	}

	if r, ok := result.(control.RegistryResult); ok && r.Refusal != "" {
		return fmt.Errorf("register searcher: %s", r.Refusal)
	}

	n.triggerRenewal()

	return nil
}
