package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// SetNodes replaces the nodes that receive announcements and triggers an announcement.
func (s *Searcher) SetNodes(nodes []string) {
	s.mu.Lock()
	s.nodes = slices.Clone(nodes)
	s.mu.Unlock()
	s.triggerAnnouncement()
}

func (s *Searcher) triggerAnnouncement() {
	select {
	case s.announceNow <- struct{}{}:
	default:
	}
}

// Announcement returns the announcement for the current state.
func (s *Searcher) Announcement() Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()

	a := Announcement{
		Upstream: s.cfg.Data.Upstream, Searcher: s.cfg.Searcher, Incarnation: s.incarnation, Address: s.address,
		FailureDomain: s.cfg.FailureDomain, Region: s.cfg.Region, Slots: s.cfg.Slots, Connections: s.cfg.Connections,
		Cold: s.isCold(), ColdRatePerSecond: s.behaviour.ColdRatePerSecond, Leaving: s.behaviour.Drain,
		Snapshots: []SnapshotShards{}, Held: []HeldShards{},
	}

	for _, h := range s.holdings {
		snapshot := SnapshotShards{Snapshot: h.Snapshot, Shards: []ShardDocuments{}}
		for _, id := range h.Shards {
			snapshot.Shards = append(snapshot.Shards, ShardDocuments{Shard: id, Documents: s.count(id, h.Snapshot)})
		}

		a.Snapshots = append(a.Snapshots, snapshot)
		a.Held = append(a.Held, HeldShards{Snapshot: h.Snapshot, Shards: slices.Clone(h.Held)})
	}

	return a
}

func (s *Searcher) announceLoop() {
	// Uses net/http because a call of the fasthttp client cannot be cancelled when the searcher stops.
	pool := &http.Transport{MaxIdleConnsPerHost: 1}
	defer pool.CloseIdleConnections()

	client := &http.Client{Transport: pool, Timeout: announceTimeout}

	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()

	first := 0

	for {
		first = s.announce(client, first)

		select {
		case <-ticker.C:
		case <-s.announceNow:
		case <-s.ctx.Done():
			return
		}
	}
}

// announce sends one announcement. It starts with the node at index first and returns the index of the node that
// accepted it.
func (s *Searcher) announce(client *http.Client, first int) int {
	s.mu.Lock()
	nodes, muted := s.nodes, !s.running || s.behaviour.Freeze || s.behaviour.Silent
	s.mu.Unlock()

	if muted || len(nodes) == 0 {
		return first
	}

	body, err := json.Marshal(s.Announcement())
	if err != nil {
		return first
	}

	for i := range nodes {
		at := (first + i) % len(nodes)
		err := s.post(client, nodes[at], body)

		s.mu.Lock()
		if err == nil {
			s.stats.Announced++
		} else {
			s.stats.AnnounceFailures++
		}
		s.mu.Unlock()

		if err == nil {
			return at
		}

		if s.ctx.Err() != nil {
			return first
		}
	}

	return first
}

func (s *Searcher) post(client *http.Client, node string, body []byte) error {
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+node+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "announce to %s", node)
	}

	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+s.cfg.AnnounceKey)

	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "announce to %s", node)
	}
	defer func() { _ = resp.Body.Close() }()

	// Draining the body allows the connection to be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes))

	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return errors.Errorf("announce to %s: status %d", node, resp.StatusCode)
	}

	return nil
}
