// This file makes the keys of a first installation.

package main

import (
	crand "crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"fulmarfall/ident"
	"fulmarfall/record"
	"fulmarfall/transport"
)

// Modes of the files with keys.
const (
	publicMode  = 0o644
	privateMode = 0o600
	folderMode  = 0o700
)

type keysCommand struct {
	CA     caCommand     `cmd:"" help:"Make the certificate authority of the nodes."`
	Node   nodeKeys      `cmd:"" help:"Make the certificate of a node, signed by the authority."`
	Bearer bearerCommand `cmd:"" help:"Make a bearer key for an operator, a calling team or an upstream."`
}

type caCommand struct {
	Folder   string        `arg:"" help:"Folder for ca.pem and ca.key."`
	Name     string        `help:"Name in the certificate." default:"fulmarfall"`
	ValidFor time.Duration `help:"Time for which the certificate is valid." default:"87600h"`
}

// Run makes the authority.
func (c *caCommand) Run() error {
	pair, err := transport.NewCA(c.Name, c.ValidFor)
	if err != nil {
		return fmt.Errorf("make CA: %w", err)
	}

	return writePair(c.Folder, "ca", pair)
}

type nodeKeys struct {
	Folder   string        `arg:"" help:"Folder with ca.pem and ca.key."`
	Node     string        `arg:"" help:"Node id."`
	ValidFor time.Duration `help:"Time for which the certificate is valid." default:"8760h"`
}

// Run makes the certificate of a node.
func (k *nodeKeys) Run() error {
	var (
		ca  transport.KeyPair
		err error
	)

	if ca.Cert, err = os.ReadFile(filepath.Join(k.Folder, "ca.pem")); err != nil {
		return fmt.Errorf("read CA: %w", err)
	}

	if ca.Key, err = os.ReadFile(filepath.Join(k.Folder, "ca.key")); err != nil {
		return fmt.Errorf("read CA: %w", err)
	}

	pair, err := transport.NewNodeKeys(ca, ident.NodeID(k.Node), k.ValidFor)
	if err != nil {
		return fmt.Errorf("make node keys: %w", err)
	}

	return writePair(k.Folder, k.Node, pair)
}

// writePair writes a certificate and its key; it never replaces files that exist.
func writePair(folder, name string, pair transport.KeyPair) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}

	if err := writeNew(filepath.Join(folder, name+".key"), pair.Key, privateMode); err != nil {
		return err
	}

	return writeNew(filepath.Join(folder, name+".pem"), pair.Cert, publicMode)
}

func writeNew(name string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("write key: %w", err)
	}

	if _, err := f.Write(data); err != nil {
		_ = f.Close()

		return fmt.Errorf("write key: %w", err)
	}

	if err := f.Close(); err != nil {
		return fmt.Errorf("write key: %w", err)
	}

	return nil
}

type bearerCommand struct {
	Prefix string `help:"Prefix of the key; for a calling team its id followed by a dot makes look-ups cheap."`
}

// bearerAnswer is what the command prints.
type bearerAnswer struct {
	Key  string         `json:"key"`
	Hash record.KeyHash `json:"hash"`
}

// bearerBytes of randomness need no slow hash.
const bearerBytes = 24

// Run makes a bearer key and the salted hash that goes into a record or the settings.
func (b *bearerCommand) Run() error {
	answer, err := newBearer(b.Prefix)
	if err != nil {
		return err
	}

	return printJSON(os.Stdout, answer)
}

func newBearer(prefix string) (bearerAnswer, error) {
	var secret, salt [bearerBytes]byte

	if _, err := crand.Read(secret[:]); err != nil {
		return bearerAnswer{}, fmt.Errorf("draw key: %w", err)
	}

	if _, err := crand.Read(salt[:]); err != nil {
		return bearerAnswer{}, fmt.Errorf("draw salt: %w", err)
	}

	a := bearerAnswer{Key: prefix + hex.EncodeToString(secret[:])}

	hash, err := record.NewKeyHash(salt[:], a.Key)
	if err != nil {
		return bearerAnswer{}, fmt.Errorf("hash key: %w", err)
	}

	a.Hash = hash

	return a, nil
}
