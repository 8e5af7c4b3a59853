package registry

import (
	"fmt"
	"net/netip"

	"fulmarfall/ident"
	"fulmarfall/record"

	"github.com/go-faster/errors"
)

// Limits of an announcement.
const (
	MaxIDBytes           = 128
	MaxSlots             = 1024
	MaxConnections       = 100000
	MaxColdRatePerSecond = 100000
	// MaxAnnouncedSnapshots limits the snapshots of one searcher.
	MaxAnnouncedSnapshots = 16
	// MaxShards limits the shards of one snapshot.
	MaxShards = 1024
	// MaxHeld limits the shards that one searcher serves, summed over its snapshots.
	MaxHeld = 2048
	// MaxDocuments limits the documents of one shard, so that sums do not overflow.
	MaxDocuments = 1 << 48
	// MaxAnnouncementBytes limits the size of an announcement in JSON.
	MaxAnnouncementBytes = 1 << 20
)

// ErrInvalid is wrapped by every error about invalid announced data.
var ErrInvalid = errors.New("invalid announcement")

// validID reports whether an id consists of 1 to MaxIDBytes letters, digits and . _ : - and starts
// with a letter or digit. An announcement can contain a thousand ids, and with a regular expression
// this check took a third of the registration time.
func validID(id string) bool {
	if id == "" || len(id) > MaxIDBytes {
		return false
	}
	for i := range len(id) {
		c := id[i]
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case i > 0 && (c == '.' || c == '_' || c == ':' || c == '-'):
		default:
			return false
		}
	}

	return true
}

func fieldError(path, text string) error {
	return fmt.Errorf("%s: %s: %w", path, text, ErrInvalid)
}

// DecodeAnnouncement decodes and validates an announcement in JSON. It rejects unknown, missing and
// duplicate fields. Errors contain the path of the invalid field.
func DecodeAnnouncement(data []byte) (*Announcement, error) {
	if len(data) > MaxAnnouncementBytes {
		return nil, fieldError("announcement", fmt.Sprintf("has %d bytes; at most %d are allowed", len(data), MaxAnnouncementBytes))
	}
	a := new(Announcement)
	if err := record.DecodeStrict(data, a); err != nil {
		return nil, fmt.Errorf("%w: %w", err, ErrInvalid)
	}
	if err := a.Validate(); err != nil {
		return nil, err
	}

	return a, nil
}

// Validate checks the announcement independently of the registry's state. Errors contain the path of
// the invalid field.
func (a *Announcement) Validate() error {
	ids := []struct{ path, value string }{
		{"upstream", string(a.Upstream)},
		{"searcher", string(a.Searcher)},
		{"failure_domain", string(a.FailureDomain)},
		{"region", string(a.Region)},
	}
	for _, id := range ids {
		if !validID(id.value) {
			return fieldError(id.path, fmt.Sprintf("%q is not an id", id.value))
		}
	}
	if addr, err := netip.ParseAddrPort(a.Address); err != nil || addr.Port() == 0 {
		return fieldError("address", fmt.Sprintf("%q is not an IP address and port", a.Address))
	}
	numbers := []struct {
		path      string
		value     uint64
		low, high uint64
	}{
		{"incarnation", uint64(a.Incarnation), 1, 1<<64 - 1},
		{"slots", uint64(a.Slots), 1, MaxSlots},
		{"connections", uint64(a.Connections), 1, MaxConnections},
		{"cold_rate_per_second", uint64(a.ColdRatePerSecond), 0, MaxColdRatePerSecond},
	}
	for _, n := range numbers {
		if n.value < n.low || n.value > n.high {
			return fieldError(n.path, fmt.Sprintf("%d is outside %d to %d", n.value, n.low, n.high))
		}
	}
	if len(a.Snapshots) > MaxAnnouncedSnapshots {
		return fieldError("snapshots", fmt.Sprintf("has %d entries; at most %d are allowed", len(a.Snapshots), MaxAnnouncedSnapshots))
	}
	held := 0
	seen := make(map[ident.SnapshotID]struct{}, len(a.Snapshots))
	for i := range a.Snapshots {
		path := fmt.Sprintf("snapshots[%d]", i)
		if _, twice := seen[a.Snapshots[i].ID]; twice {
			return fieldError(path+".id", fmt.Sprintf("%d occurs twice", a.Snapshots[i].ID))
		}
		seen[a.Snapshots[i].ID] = struct{}{}
		if held += len(a.Snapshots[i].Held); held > MaxHeld {
			return fieldError(path+".held", fmt.Sprintf("brings the served shards to %d; at most %d are allowed", held, MaxHeld))
		}
		if err := a.Snapshots[i].validate(path); err != nil {
			return err
		}
	}

	return nil
}

func (s *Snapshot) validate(path string) error {
	if s.ID == 0 {
		return fieldError(path+".id", "is 0")
	}
	if len(s.Shards) > MaxShards || len(s.Held) > MaxShards {
		return fieldError(path, fmt.Sprintf("has more than %d shards", MaxShards))
	}
	shards := make(map[ident.ShardID]struct{}, len(s.Shards))
	for j := range s.Shards {
		sh := &s.Shards[j]
		shardPath := fmt.Sprintf("%s.shards[%d]", path, j)
		if !validID(string(sh.ID)) {
			return fieldError(shardPath+".id", fmt.Sprintf("%q is not an id", sh.ID))
		}
		if _, twice := shards[sh.ID]; twice {
			return fieldError(shardPath+".id", fmt.Sprintf("%q occurs twice", sh.ID))
		}
		if sh.Documents > MaxDocuments {
			return fieldError(shardPath+".documents", fmt.Sprintf("%d is above %d", sh.Documents, uint64(MaxDocuments)))
		}
		shards[sh.ID] = struct{}{}
	}
	held := make(map[ident.ShardID]struct{}, len(s.Held))
	for j, id := range s.Held {
		if _, twice := held[id]; twice {
			return fieldError(fmt.Sprintf("%s.held[%d]", path, j), fmt.Sprintf("%q occurs twice", id))
		}
		held[id] = struct{}{}
	}

	return nil
}
