package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"fulmarfall/api"
	"fulmarfall/client"
	"fulmarfall/ident"
	"fulmarfall/record"
	"fulmarfall/standin"
)

const (
	// AnnounceKey is the bearer key with which the searchers announce themselves.
	AnnounceKey = "demo-announce-key-0001"
	teamSecret  = "demo-team-secret-0001"
	salt        = "demo-record-salt"
)

// TeamKey returns the bearer key of a calling team: its id, a dot and the secret.
func TeamKey(team ident.TeamID) string { return string(team) + "." + teamSecret }

const (
	defaultTimeout = time.Second
	teamRate       = 100000
	// FirstSnapshot is the snapshot that searchers serve initially.
	FirstSnapshot = ident.SnapshotID(1)
)

// WriteRecords stores an organisation's records: its calling team, failure domains, upstreams and approvals.
func WriteRecords(ctx context.Context, op *client.Client, org Organisation) error {
	teamHash, err := record.NewKeyHash([]byte(salt), TeamKey(org.Team))
	if err != nil {
		return fmt.Errorf("hash team key: %w", err)
	}

	announceHash, err := record.NewKeyHash([]byte(salt), AnnounceKey)
	if err != nil {
		return fmt.Errorf("hash announce key: %w", err)
	}

	if err := PutRecord(ctx, op, record.KindCallingTeam, string(org.Team), 1, 1,
		record.CallingTeamV1{Keys: []record.KeyHash{teamHash}}); err != nil {
		return err
	}

	for _, p := range org.Places {
		if err := PutRecord(ctx, op, record.KindFailureDomain, string(p.FailureDomain), 1, 1,
			record.FailureDomainV1{Region: p.Region, InService: true}); err != nil {
			return err
		}
	}

	for _, s := range org.Services {
		if err := PutRecord(ctx, op, record.KindUpstream, string(s.Upstream), 1, 1, record.UpstreamV1{
			AnnounceKeys: []record.KeyHash{announceHash}, DefaultTimeoutMS: uint32(defaultTimeout.Milliseconds()),
		}); err != nil {
			return err
		}

		if err := PutRecord(ctx, op, record.KindApproval, record.ApprovalName(s.Upstream, org.Team), 2, 1, record.ApprovalV2{
			Upstream: s.Upstream, Team: org.Team, Classes: []string{"urgent", "normal", "batch"},
			RatePerSecond: teamRate, Burst: teamRate, Weight: 1,
		}); err != nil {
			return err
		}
	}

	return nil
}

// PutRecord stores one record. It retries until the system accepts or rejects it, for instance while no
// leader is elected.
func PutRecord(ctx context.Context, op *client.Client, kind record.Kind, name string, schema record.Schema,
	revision ident.Revision, spec any,
) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return fmt.Errorf("encode %s/%s: %w", kind, name, err)
	}

	change := api.RecordChange{
		Schema: schema, Revision: revision, Operation: ident.OperationID(uuid.NewString()), Spec: data,
	}

	var last error

	err = WaitFor(ctx, "the voters", func() bool {
		_, last = op.Put(ctx, kind, name, change)

		var refused *client.RefusalError

		return last == nil || errors.As(last, &refused) && refused.Status < 500 || errors.As(last, new(*client.ConflictError))
	})

	if err = errors.Join(last, err); err != nil {
		return fmt.Errorf("put %s/%s: %w", kind, name, err)
	}

	return nil
}

// Searcher is a running stand-in searcher with its service.
type Searcher struct {
	*standin.Searcher
	Service Service
}

// StartSearchers starts all searchers of an organisation, which announce themselves to the given nodes.
// The clean-up function stops them.
func StartSearchers(org Organisation, nodes []string) ([]Searcher, func() error, error) {
	var (
		list  []Searcher
		stops []func() error
	)

	stop := func() error {
		var err error
		for _, s := range stops {
			err = errors.Join(err, s())
		}

		return err
	}

	for _, service := range org.Services {
		for _, cfg := range searcherConfigs(org, service, nodes) {
			s, stopOne, err := standin.Start(cfg)
			if err != nil {
				return nil, nil, errors.Join(fmt.Errorf("start searcher %s: %w", cfg.Searcher, err), stop())
			}

			list = append(list, Searcher{s, service})
			stops = append(stops, stopOne)
		}
	}

	return list, stop, nil
}

// Dataset returns the synthetic data of a service. Its seed is fixed, so that answers can be recomputed.
func Dataset(s Service) standin.Dataset { return standin.Dataset{Seed: 7, Upstream: s.Upstream} }

// AllShards returns the ids of all shards of a service.
func (s Service) AllShards() []ident.ShardID {
	shards := make([]ident.ShardID, s.Shards)
	for i := range shards {
		shards[i] = shardName(i)
	}

	return shards
}

func searcherConfigs(org Organisation, service Service, nodes []string) []standin.Config {
	var list []standin.Config

	for shard := range service.Shards {
		for replica := range service.Replicas {
			place := org.Places[(shard+replica)%len(org.Places)]
			first := (shard + replica) % len(nodes)
			list = append(list, standin.Config{
				Data:     Dataset(service),
				Searcher: ident.SearcherID(fmt.Sprintf("%s-%02d-%d", service.Upstream, shard, replica)),
				Address:  "127.0.0.1:0", FailureDomain: place.FailureDomain, Region: place.Region,
				Slots: service.Slots, Connections: service.Connections, AnnounceKey: AnnounceKey,
				Nodes: append(append([]string(nil), nodes[first:]...), nodes[:first]...),
				Holdings: []standin.Holding{{
					Snapshot: FirstSnapshot, Shards: service.AllShards(), Held: []ident.ShardID{shardName(shard)},
				}},
				Behaviour: standin.DefaultBehaviour(),
			})
		}
	}

	return list
}
