package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"fulmarfall/node"
	"fulmarfall/record"
	"fulmarfall/settings"
	"fulmarfall/transport"
)

type nodeCommand struct {
	Settings string `arg:"" help:"Settings file: JSON with comments."`
}

// Run runs the node until SIGTERM or SIGINT, which start a planned stop. SIGHUP reloads the keys.
func (c *nodeCommand) Run() error {
	s, err := loadSettings(c.Settings)
	if err != nil {
		return err
	}

	logger := newLogger(s.Log.Level)

	n, cleanup, err := node.Start(nodeConfig(s), node.WithLogger(logger))
	if err != nil {
		return err
	}

	err = handleSignals(n, logger)

	if cerr := cleanup(); err == nil {
		err = cerr
	}

	logger.Info().Err(err).Msg("node stopped")

	return err
}

// handleSignals handles signals until the node fails or has drained after a stop signal.
func handleSignals(n *node.Node, logger *log.Logger) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)

	defer signal.Stop(signals)

	for {
		select {
		case <-n.Failed():
			return n.Err()
		case <-signals:
			return drain(n, signals)
		case <-hangups:
			if err := n.ReloadKeys(); err != nil {
				logger.Error().Err(err).Msg("key reload failed; the previous keys stay in use")
			}
		}
	}
}

// drain runs the planned stop; a further signal cuts it short.
func drain(n *node.Node, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()

	return n.Shutdown(ctx)
}

func loadSettings(name string) (*settings.Settings, error) {
	s, err := settings.Load(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSettings, err)
	}

	return s, nil
}

func newLogger(level string) *log.Logger {
	return &log.Logger{
		Level: log.ParseLevel(level), TimeFormat: time.RFC3339Nano, TimeField: "time",
		Writer: &log.IOWriter{Writer: os.Stderr},
	}
}

func nodeConfig(s *settings.Settings) node.Config {
	cfg := node.Config{
		ID: s.Node, FailureDomain: s.FailureDomain, Region: s.Region,
		HTTPAddress: s.HTTPAddress, QUICAddress: s.QUICAddress,
		AdvertiseHTTP: s.AdvertiseHTTP, AdvertiseQUIC: s.AdvertiseQUIC,
		DataFolder: s.DataFolder, Join: s.Join,
		Keys:        transport.KeyFiles{CAs: s.Keys.CAFiles, Cert: s.Keys.CertFile, Key: s.Keys.KeyFile},
		MaxInFlight: s.Limits.MaxInFlight, MaxBodyBytes: s.Limits.MaxBodyBytes,
		QueuePerSearcher: s.Limits.QueuePerSearcher, SnapshotEntries: uint64(s.Limits.LogSnapshotEntries), //nolint:gosec // Checked to be positive.
		AddressTTL: s.Timings.KeepSeconds.Duration(), DrainTime: s.Timings.DrainSeconds.Duration(),
		MaxConnections: s.Limits.MaxConnections, MaxHits: s.Limits.MaxHits, MaxTimeout: s.Limits.MaxTimeoutMS.Duration(),
		HedgePercent: &s.Limits.HedgePercent, CallsPerPeer: s.Limits.CallsPerPeer, SendQueue: s.Limits.SendQueue,
		IdleTimeout:  s.Limits.DisconnectAfterIdleMS.Duration(),
		MetricsTeams: s.Limits.MetricsTeams, MetricsInterval: s.Metrics.ReportSeconds.Duration(),
	}
	for _, v := range s.Voters {
		cfg.Voters = append(cfg.Voters, node.Peer{Node: v.Node, QUICAddress: v.QUICAddress})
	}

	for _, k := range s.OperatorKeys {
		cfg.OperatorKeys = append(cfg.OperatorKeys, node.OperatorKey{
			Name: k.Name, Hash: record.KeyHash{Salt: k.Salt, Hash: k.Hash},
		})
	}

	return cfg
}

type checkCommand struct {
	Settings      string `arg:"" help:"Settings file: JSON with comments, or lines of the platform's format with --platform, or a configuration document with --configuration."`
	Platform      bool   `help:"The file is in the format of the platform: lines of the form name=value." xor:"format"`
	Configuration bool   `help:"The file is a configuration document of the platform." xor:"format"`
	InForce       string `help:"Configuration document in force, for the differences from it; with --configuration."`
}

// Run validates a settings file or a configuration document and reports all of its errors.
func (c *checkCommand) Run() error {
	switch {
	case c.Platform:
		return checkPlatform(c.Settings)
	case c.InForce != "" && !c.Configuration:
		return errors.New("--in-force needs --configuration")
	case c.Configuration:
		return checkConfiguration(os.Stdout, c.Settings, c.InForce)
	}

	s, err := loadSettings(c.Settings)
	if err != nil {
		return err
	}

	fmt.Printf("%s: no faults; node %s in failure domain %s\n", c.Settings, s.Node, s.FailureDomain)

	return nil
}
