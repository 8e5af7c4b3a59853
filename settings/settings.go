// Package settings loads and validates the settings file of a node, which is JSON with comments. All
// errors of a file are reported together.
//
// Struct tags define the rules of each field, so that decoding, validation and the reference in
// docs/settings.md share one definition.
package settings

import (
	"os"
	"path/filepath"
	"time"

	"fulmarfall/ident"
	"fulmarfall/record"

	"github.com/go-faster/errors"
)

// Millis is a duration in milliseconds.
type Millis int64

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Seconds is a duration in seconds.
type Seconds int64

// Duration converts s to a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(s) * time.Second }

// Settings is the content of a settings file, with defaults applied.
//
// Tags: form is the name of a string format, range limits a number or the length of a list, default
// is the value of an absent field, unit appears in error messages and in the reference, and need
// marks required fields.
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

// Voter gives the address of a voter.
type Voter struct {
	Node        ident.NodeID `json:"node" form:"name" need:"yes"`
	QUICAddress string       `json:"quic_address" form:"address" need:"yes"`
}

// Keys lists the PEM files for mutual TLS between nodes.
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

// Limits configures the resource limits of the node.
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

// Timings configures the shutdown of a node. The times of leases and elections are not configurable,
// because nodes with different lease times could both own a searcher.
type Timings struct {
	KeepSeconds  Seconds `json:"keep_seconds" unit:"seconds" default:"5" range:"1..300"`
	DrainSeconds Seconds `json:"drain_seconds" unit:"seconds" default:"65" range:"1..900"`
}

// Log configures the log of the node.
type Log struct {
	Level string `json:"level" form:"level" default:"info"`
}

// Metrics configures the metrics page.
type Metrics struct {
	ReportSeconds Seconds `json:"report_seconds" unit:"seconds" default:"5" range:"1..300"`
}

// maxFileBytes limits the size of a settings file; the largest example has a few kilobytes.
const maxFileBytes = 256 << 10

// Load reads and validates a settings file. Relative file names in it are resolved against the folder
// of the settings file. If fields are invalid, the error is a FieldErrors with all of them.
func Load(name string) (*Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}

	s, err := Parse(data)
	if err != nil {
		var errs FieldErrors
		if errors.As(err, &errs) {
			for i := range errs {
				errs[i].File = name
			}

			return nil, errs
		}

		return nil, errors.Wrapf(err, "read settings %s", name)
	}

	s.resolvePaths(filepath.Dir(name))

	return s, nil
}

func (s *Settings) resolvePaths(folder string) {
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

// IsVoter reports whether this node runs a voter.
func (s *Settings) IsVoter() bool { return s.DataFolder != "" }

// Operator returns the name of the operator that a bearer key belongs to.
func (s *Settings) Operator(key string) (name string, ok bool) {
	for _, k := range s.OperatorKeys {
		if (record.KeyHash{Salt: k.Salt, Hash: k.Hash}).Matches(key) {
			return k.Name, true
		}
	}

	return "", false
}
