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

// SetNodes changes the nodes that announcements go to.
func (s *Searcher) SetNodes(nodes []string) {
	s.mu.Lock()
	s.nodes = slices.Clone(nodes)
	s.mu.Unlock()
	s.announceSoon()
}

func (s *Searcher) announceSoon() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// Announcement returns what the searcher announces now.
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
		all := SnapshotShards{Snapshot: h.Snapshot, Shards: []ShardDocuments{}}
		for _, id := range h.Shards {
			all.Shards = append(all.Shards, ShardDocuments{Shard: id, Documents: s.count(id, h.Snapshot)})
		}

		a.Snapshots = append(a.Snapshots, all)
		a.Held = append(a.Held, HeldShards{Snapshot: h.Snapshot, Shards: slices.Clone(h.Held)})
	}

	return a
}

func (s *Searcher) announceLoop() {
	// net/http, because a call of fasthttp's client cannot be given up when the searcher stops.
	pool := &http.Transport{MaxIdleConnsPerHost: 1}
	defer pool.CloseIdleConnections()

	client := &http.Client{Transport: pool, Timeout: announceTimeout}

	tick := time.NewTicker(announceEvery)
	defer tick.Stop()

	first := 0

	for {
		first = s.announce(client, first)

		select {
		case <-tick.C:
		case <-s.kick:
		case <-s.ctx.Done():
			return
		}
	}
}

// announce sends one announcement, to the node that took the last one or else to the next ones.
func (s *Searcher) announce(client *http.Client, first int) int {
	s.mu.Lock()
	nodes, quiet := s.nodes, !s.up || s.behaviour.Freeze || s.behaviour.Silent
	s.mu.Unlock()

	if quiet || len(nodes) == 0 {
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

	// A body that is read to its end lets the connection be used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes))

	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return errors.Errorf("announce to %s: status %d", node, resp.StatusCode)
	}

	return nil
}
