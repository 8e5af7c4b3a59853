// Package demo runs a complete system in one process: nodes, some of them voters, stand-in searchers,
// records and callers. The command "demo" and tests use it.
package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"time"

	"fulmarfall/client"
	"fulmarfall/ident"
	"fulmarfall/node"
	"fulmarfall/record"
	"fulmarfall/transport"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
)

// Place is the failure domain and region of a node or searcher.
type Place struct {
	FailureDomain ident.FailureDomain
	Region        ident.Region
}

// Layout describes the nodes of a system. The first Voters nodes are voters; nodes are assigned to the
// places in turn.
type Layout struct {
	Places []Place
	Nodes  int
	Voters int
	// KeepTime is how long callers may cache the addresses of entry VMs.
	KeepTime time.Duration
}

// OperatorKey is the operator's bearer key for the nodes that Configure sets up.
const OperatorKey = "demo-operator-key-0001"

const keysValidFor = 24 * time.Hour

// Cluster is the running nodes of a system.
type Cluster struct {
	Nodes   []*node.Node
	Configs []node.Config

	logger *log.Logger
	stops  []func() error
}

// Configure returns the configurations of a system's nodes. It writes their certificates and keys to a
// folder, below which the voters have their data folders.
func Configure(folder string, l Layout) ([]node.Config, error) {
	files, err := makeKeys(folder, l.Nodes)
	if err != nil {
		return nil, err
	}

	hash, err := record.NewKeyHash([]byte("demo-operator-salt"), OperatorKey)
	if err != nil {
		return nil, fmt.Errorf("hash operator key: %w", err)
	}

	addrs, err := loopbackAddresses(l.Nodes)
	if err != nil {
		return nil, err
	}

	configs := make([]node.Config, l.Nodes)

	var voters []node.Peer

	for i := range configs {
		place := l.Places[i%len(l.Places)]

		quic, http := fmt.Sprintf("%s:%d", addrs[i], quicPort), fmt.Sprintf("%s:%d", addrs[i], httpPort)
		configs[i] = node.Config{
			ID: nodeID(i), FailureDomain: place.FailureDomain, Region: place.Region,
			HTTPAddress: http, QUICAddress: quic, Keys: files[i], AddressTTL: l.KeepTime,
			OperatorKeys: []node.OperatorKey{{Name: "demo", Hash: hash}},
		}
		if i < l.Voters {
			configs[i].DataFolder = filepath.Join(folder, string(nodeID(i)))
			voters = append(voters, node.Peer{Node: nodeID(i), QUICAddress: quic})
		}
	}

	for i := range configs {
		configs[i].Voters = voters
	}

	return configs, nil
}

func nodeID(i int) ident.NodeID { return ident.NodeID(fmt.Sprintf("entry-%d", i+1)) }

func makeKeys(folder string, n int) ([]transport.KeyFiles, error) {
	ca, err := transport.NewCA("demo", keysValidFor)
	if err != nil {
		return nil, fmt.Errorf("make CA: %w", err)
	}

	caFile := filepath.Join(folder, "ca.pem")
	if err := os.WriteFile(caFile, ca.Cert, 0o600); err != nil {
		return nil, fmt.Errorf("write CA: %w", err)
	}

	files := make([]transport.KeyFiles, n)

	for i := range files {
		pair, err := transport.NewNodeKeys(ca, nodeID(i), keysValidFor)
		if err != nil {
			return nil, fmt.Errorf("make node keys: %w", err)
		}

		base := filepath.Join(folder, string(nodeID(i)))
		files[i] = transport.KeyFiles{CAs: []string{caFile}, Cert: base + ".pem", Key: base + "-key.pem"}

		if err := errors.Join(
			os.WriteFile(files[i].Cert, pair.Cert, 0o600), os.WriteFile(files[i].Key, pair.Key, 0o600),
		); err != nil {
			return nil, fmt.Errorf("write node keys: %w", err)
		}
	}

	return files, nil
}

// All nodes use the same ports on different loopback addresses.
const (
	httpPort = 7400
	quicPort = 7401
	// maxAddressAttempts limits the attempts to find unused loopback addresses.
	maxAddressAttempts = 20
)

// loopbackAddresses picks a random block of loopback addresses, one per node. Ephemeral ports are not
// used, because a connection could take one before the node listens on it.
func loopbackAddresses(n int) ([]string, error) {
	var last error

	for range maxAddressAttempts {
		block := fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
		addrs := make([]string, n)

		for i := range addrs {
			addrs[i] = fmt.Sprintf("%s.%d", block, i+1)
		}

		if last = checkUnused(addrs); last == nil {
			return addrs, nil
		}
	}

	return nil, fmt.Errorf("find free loopback addresses: %w", last)
}

func checkUnused(addrs []string) error {
	for _, addr := range addrs {
		c, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP(addr), Port: httpPort})
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}

		if err := c.Close(); err != nil {
			return fmt.Errorf("close listener: %w", err)
		}
	}

	return nil
}

// Start starts the nodes of a system. The clean-up function stops them.
func Start(configs []node.Config, logger *log.Logger) (*Cluster, func() error, error) {
	c := &Cluster{Configs: configs, logger: logger}

	for _, cfg := range configs {
		n, stop, err := node.Start(cfg, node.WithLogger(logger))
		if err != nil {
			return nil, nil, errors.Join(err, c.stop())
		}

		c.Nodes = append(c.Nodes, n)
		c.stops = append(c.stops, stop)
	}

	return c, c.stop, nil
}

func (c *Cluster) stop() error {
	var err error
	for _, stop := range c.stops {
		err = errors.Join(err, stop())
	}

	return err
}

// Addresses returns the HTTP addresses of all nodes.
func (c *Cluster) Addresses() []string {
	addrs := make([]string, len(c.Configs))
	for i := range c.Configs {
		addrs[i] = c.Configs[i].HTTPAddress
	}

	return addrs
}

// Operator returns a client with the operator's key, and its clean-up function.
func (c *Cluster) Operator() (*client.Client, func()) {
	return client.New(c.Addresses(), client.WithKey(OperatorKey))
}

// WaitFor polls a condition every 20 ms until it holds or ctx is done. The error names what was awaited.
func WaitFor(ctx context.Context, what string, condition func() bool) error {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()

	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, ctx.Err())
		case <-t.C:
		}
	}

	return nil
}
