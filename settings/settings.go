// Package settings reads the settings file of a node: JSON with comments, checked as a whole.
//
// Struct tags hold the rules of each field, so that decoding, checks and the
// reference in docs/settings.md have one source.
package settings

import (
	"os"
	"path/filepath"
	"time"

	"fulmarfall/ident"
	"fulmarfall/record"

	"github.com/go-faster/errors"
)

// Millis is a time in milliseconds.
type Millis int64

// Duration returns the time in the unit of package time.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Seconds is a time in seconds.
type Seconds int64

// Duration returns the time in the unit of package time.
func (s Seconds) Duration() time.Duration { return time.Duration(s) * time.Second }

// Settings is the content of a settings file, with defaults filled in.
//
// Tags: form names the syntax of a string, range bounds a number or the length
// of a list, unit and default are shown in the reference, and need marks
// fields that have no default.
type Settings struct {
	Node          ident.NodeID        `json:"node" form:"name" need:"yes"`
	FailureDomain ident.FailureDomain `json:"failure_domain" form:"name" need:"yes"`
	Region        ident.Region        `json:"region" form:"name" need:"yes"`
	HTTPAddress   string              `json:"http_address" form:"address" need:"yes"`
	QUICAddress   string              `json:"quic_address" form:"address" need:"yes"`
	AdvertiseHTTP string              `json:"advertise_http" form:"address"`
	AdvertiseQUIC string              `json:"advertise_quic" form:"address"`
	DataFolder    string              `json:"data_folder" form:"path"`
	Join          bool                `json:"join" default:"false"`
	Voters        []Voter             `json:"voters" range:"1..7" need:"yes"`
	Keys          Keys                `json:"keys"`
	OperatorKeys  []OperatorKey       `json:"operator_keys" range:"0..64"`
	Limits        Limits              `json:"limits"`
	Timings       Timings             `json:"timings"`
	Log           Log                 `json:"log"`
	Metrics       Metrics             `json:"metrics"`
}

// Voter tells where a voter is reached.
type Voter struct {
	Node        ident.NodeID `json:"node" form:"name" need:"yes"`
	QUICAddress string       `json:"quic_address" form:"address" need:"yes"`
}

// Keys names the PEM files for mutual TLS between nodes.
type Keys struct {
	CAFiles  []string `json:"ca_files" form:"path" range:"1..4" need:"yes"`
	CertFile string   `json:"cert_file" form:"path" need:"yes"`
	KeyFile  string   `json:"key_file" form:"path" need:"yes"`
}

// OperatorKey is the salted hash of the bearer key of an operator.
type OperatorKey struct {
	Name string `json:"name" form:"name" need:"yes"`
	Salt string `json:"salt" form:"salt" need:"yes"`
	Hash string `json:"hash" form:"hash" need:"yes"`
}

// Limits bounds what the node takes in.
type Limits struct {
	MaxInFlight           int    `json:"max_in_flight" unit:"requests" default:"32" range:"1..100000"`
	MaxConnections        int    `json:"max_connections" unit:"connections" default:"4096" range:"1..100000"`
	MaxBodyBytes          int    `json:"max_body_bytes" unit:"bytes" default:"1048576" range:"1024..4000000"`
	MaxHits               int    `json:"max_hits" unit:"hits" default:"1000" range:"1..10000"`
	MaxTimeoutMS          Millis `json:"max_timeout_ms" unit:"milliseconds" default:"60000" range:"2..600000"`
	QueuePerSearcher      int    `json:"queue_per_searcher" unit:"shard requests" default:"16" range:"1..1024"`
	HedgePercent          int    `json:"hedge_percent" unit:"percent of shard requests" default:"5" range:"0..50"`
	CallsPerPeer          int    `json:"calls_per_peer" unit:"calls" default:"1024" range:"16..65536"`
	SendQueue             int    `json:"send_queue" unit:"messages" default:"256" range:"16..65536"`
	LogSnapshotEntries    int    `json:"log_snapshot_entries" unit:"log entries" default:"1000" range:"10..1000000"`
	MetricsTeams          int    `json:"metrics_teams" unit:"teams" default:"64" range:"1..1000"`
	DisconnectAfterIdleMS Millis `json:"disconnect_after_idle_ms" unit:"milliseconds" default:"6000" range:"500..60000"`
}

// Timings sets how a node stops. The times of leases and elections are no settings, because nodes with
// different lease times could both own a searcher.
type Timings struct {
	KeepSeconds  Seconds `json:"keep_seconds" unit:"seconds" default:"5" range:"1..300"`
	DrainSeconds Seconds `json:"drain_seconds" unit:"seconds" default:"65" range:"1..900"`
}

// Log sets what the node writes to its log.
type Log struct {
	Level string `json:"level" form:"level" default:"info"`
}

// Metrics sets how the text page is kept.
type Metrics struct {
	ReportSeconds Seconds `json:"report_seconds" unit:"seconds" default:"5" range:"1..300"`
}

// maxFileBytes bounds a settings file; the largest example has a few kilobytes.
const maxFileBytes = 256 << 10

// Load reads and checks a settings file. Relative file names in it start at the
// folder of the settings file. A file with faults gives a Faults error with all of them.
func Load(name string) (*Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}

	s, err := Parse(data)
	if err != nil {
		var faults Faults
		if errors.As(err, &faults) {
			for i := range faults {
				faults[i].File = name
			}

			return nil, faults
		}

		return nil, errors.Wrapf(err, "read settings %s", name)
	}

	s.resolve(filepath.Dir(name))

	return s, nil
}

func (s *Settings) resolve(folder string) {
	abs := func(name *string) {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(folder, *name)
		}
	}

	abs(&s.DataFolder)
	abs(&s.Keys.CertFile)
	abs(&s.Keys.KeyFile)

	for i := range s.Keys.CAFiles {
		abs(&s.Keys.CAFiles[i])
	}
}

// IsVoter tells whether this node runs a voter.
func (s *Settings) IsVoter() bool { return s.DataFolder != "" }

// Operator returns the name of the operator whose bearer key is given.
func (s *Settings) Operator(key string) (name string, ok bool) {
	for _, k := range s.OperatorKeys {
		if (record.KeyHash{Salt: k.Salt, Hash: k.Hash}).Matches(key) {
			return k.Name, true
		}
	}

	return "", false
}
