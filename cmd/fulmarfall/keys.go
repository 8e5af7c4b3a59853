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

// Modes of key files and their folder.
const (
	publicMode  = 0o644
	privateMode = 0o600
	folderMode  = 0o700
)

type keysCommand struct {
	CA     caCommand       `cmd:"" help:"Make the certificate authority of the nodes."`
	Node   nodeKeysCommand `cmd:"" help:"Make the certificate of a node, signed by the authority."`
	Bearer bearerCommand   `cmd:"" help:"Make a bearer key for an operator, a calling team or an upstream."`
}

type caCommand struct {
	Folder   string        `arg:"" help:"Folder for ca.pem and ca.key."`
	Name     string        `help:"Name in the certificate." default:"fulmarfall"`
	ValidFor time.Duration `help:"Time for which the certificate is valid." default:"87600h"`
}

// Run creates the certificate authority; it fails if its files exist.
func (c *caCommand) Run() error {
	pair, err := transport.NewCA(c.Name, c.ValidFor)
	if err != nil {
		return fmt.Errorf("make CA: %w", err)
	}

	return writePair(c.Folder, "ca", pair)
}

type nodeKeysCommand struct {
	Folder   string        `arg:"" help:"Folder with ca.pem and ca.key."`
	Node     string        `arg:"" help:"Node id."`
	ValidFor time.Duration `help:"Time for which the certificate is valid." default:"8760h"`
}

// Run creates a node's certificate, signed by the authority in the folder.
func (k *nodeKeysCommand) Run() error {
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

// writePair writes a certificate and its private key. It never overwrites existing files.
func writePair(folder, name string, pair transport.KeyPair) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}

	if err := writeNewFile(filepath.Join(folder, name+".key"), pair.Key, privateMode); err != nil {
		return err
	}

	return writeNewFile(filepath.Join(folder, name+".pem"), pair.Cert, publicMode)
}

func writeNewFile(name string, data []byte, mode os.FileMode) error {
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
	Prefix string `help:"Prefix of the key; for a calling team, use its id followed by a dot, which makes look-ups cheap."`
}

// bearerOutput is the output of the command.
type bearerOutput struct {
	Key  string         `json:"key"`
	Hash record.KeyHash `json:"hash"`
}

// bearerKeyBytes is the length of keys and salts. 192 random bits cannot be guessed, so that a fast hash is enough.
const bearerKeyBytes = 24

// Run prints a new bearer key with its salted hash, which goes into a record or the settings.
func (b *bearerCommand) Run() error {
	answer, err := newBearerKey(b.Prefix)
	if err != nil {
		return err
	}

	return printJSON(os.Stdout, answer)
}

func newBearerKey(prefix string) (bearerOutput, error) {
	var secret, salt [bearerKeyBytes]byte

	if _, err := crand.Read(secret[:]); err != nil {
		return bearerOutput{}, fmt.Errorf("generate key: %w", err)
	}

	if _, err := crand.Read(salt[:]); err != nil {
		return bearerOutput{}, fmt.Errorf("generate salt: %w", err)
	}

	a := bearerOutput{Key: prefix + hex.EncodeToString(secret[:])}

	hash, err := record.NewKeyHash(salt[:], a.Key)
	if err != nil {
		return bearerOutput{}, fmt.Errorf("hash key: %w", err)
	}

	a.Hash = hash

	return a, nil
}
