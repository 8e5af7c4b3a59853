package transport

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
)

// ALPN is the TLS application protocol that nodes negotiate with each other.
const ALPN = "fulmarfall/1"

// ErrWrongPeer is wrapped when a certificate or message names a node other than the expected one.
var ErrWrongPeer = errors.New("peer is another node")

// KeyFiles names the PEM files of an identity. During a CA rotation, CAs lists the old and the new CA.
type KeyFiles struct {
	CAs  []string
	Cert string
	Key  string
}

// Identity is the certificate and private key of this node and the CAs that it trusts. It is safe for concurrent use.
// Reload replaces all of them for new handshakes.
type Identity struct {
	files KeyFiles
	node  ident.NodeID

	mu    sync.RWMutex
	state identityState
}

type identityState struct {
	cert   tls.Certificate
	roots  *x509.CertPool
	digest [sha256.Size]byte
	// unverified accepts certificates from any issuer; see NewUnverifiedIdentity.
	unverified bool
}

// LoadIdentity reads the files of a node and verifies its certificate against the CAs.
func LoadIdentity(files KeyFiles) (*Identity, error) {
	st, err := files.read()
	if err != nil {
		return nil, err
	}

	node, err := NodeOf(st.cert.Leaf)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", files.Cert)
	}

	return &Identity{files: files, node: node, state: st}, nil
}

// Node returns the id of the node that the certificate was issued to. Reload cannot change it.
func (id *Identity) Node() ident.NodeID { return id.node }

// Reload reads the files again and reports whether their contents changed. After an error the previous keys and CAs stay
// in use.
func (id *Identity) Reload() (changed bool, err error) {
	if id.current().unverified {
		return false, nil
	}

	st, err := id.files.read()
	if err != nil {
		return false, err
	}

	node, err := NodeOf(st.cert.Leaf)
	if err != nil {
		return false, errors.Wrapf(err, "read %s", id.files.Cert)
	}

	if node != id.node {
		return false, fmt.Errorf("%s names node %q, this node is %q: %w", id.files.Cert, node, id.node, ErrWrongPeer)
	}

	id.mu.Lock()
	defer id.mu.Unlock()

	changed = st.digest != id.state.digest
	id.state = st

	return changed, nil
}

func (f KeyFiles) read() (identityState, error) {
	st := identityState{roots: x509.NewCertPool()}
	if len(f.CAs) == 0 {
		return st, errors.New("no CA file configured")
	}

	sum := sha256.New()

	for _, name := range f.CAs {
		data, err := os.ReadFile(name)
		if err != nil {
			return st, errors.Wrap(err, "read CA")
		}

		if !st.roots.AppendCertsFromPEM(data) {
			return st, fmt.Errorf("read CA: %s contains no certificate", name)
		}

		_, _ = sum.Write(data)
	}

	certPEM, err := os.ReadFile(f.Cert)
	if err != nil {
		return st, errors.Wrap(err, "read certificate")
	}

	keyPEM, err := os.ReadFile(f.Key)
	if err != nil {
		return st, errors.Wrap(err, "read key")
	}

	if st.cert, err = tls.X509KeyPair(certPEM, keyPEM); err != nil {
		return st, errors.Wrapf(err, "load key pair %s, %s", f.Cert, f.Key)
	}

	_, _ = sum.Write(bytes.Join([][]byte{certPEM, keyPEM}, nil))
	sum.Sum(st.digest[:0])

	if err := st.verify(st.cert.Leaf, nil, x509.ExtKeyUsageServerAuth); err != nil {
		return st, errors.Wrapf(err, "verify %s against the CA files", f.Cert)
	}

	return st, nil
}

func (st *identityState) verify(leaf *x509.Certificate, intermediates []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if st.unverified {
		return nil
	}

	pool := x509.NewCertPool()
	for _, cert := range intermediates {
		pool.AddCert(cert)
	}

	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: st.roots, Intermediates: pool, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return errors.Wrap(err, "verify certificate")
	}

	return nil
}

func (id *Identity) current() identityState {
	id.mu.RLock()
	defer id.mu.RUnlock()

	return id.state
}

// verifyPeer checks the certificate chain of a peer against the current CAs.
func (id *Identity) verifyPeer(chain []*x509.Certificate) error {
	st := id.current()

	return st.verify(chain[0], chain[1:], x509.ExtKeyUsageClientAuth)
}

// tlsConfig returns a configuration that verifies the peer in VerifyConnection, because crypto/tls would match host names
// and node ids are not host names. Session tickets are disabled so that each new connection presents its certificate and
// has it verified against the current CAs.
func (id *Identity) tlsConfig(usage x509.ExtKeyUsage, check func(ident.NodeID) error) *tls.Config {
	st := id.current()

	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{ALPN},
		Certificates:           []tls.Certificate{st.cert},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			if len(cs.PeerCertificates) == 0 {
				return errors.New("peer has no certificate")
			}

			leaf := cs.PeerCertificates[0]
			if err := st.verify(leaf, cs.PeerCertificates[1:], usage); err != nil {
				return err
			}

			node, err := NodeOf(leaf)
			if err != nil {
				return err
			}

			return check(node)
		},
	}
}

func (id *Identity) serverConfig() *tls.Config {
	anyNode := func(ident.NodeID) error { return nil }
	cfg := id.tlsConfig(x509.ExtKeyUsageClientAuth, anyNode)
	cfg.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return id.tlsConfig(x509.ExtKeyUsageClientAuth, anyNode), nil
	}

	return cfg
}

func (id *Identity) clientConfig(to ident.NodeID) *tls.Config {
	return id.tlsConfig(x509.ExtKeyUsageServerAuth, func(node ident.NodeID) error {
		if node != to {
			return fmt.Errorf("certificate names %q, expected %q: %w", node, to, ErrWrongPeer)
		}

		return nil
	})
}

// statelessResetKey derives the QUIC stateless reset key from the private key of the node. A restarted process with the same
// key can reset connections of its predecessor, so that peers need not wait for the idle timeout.
func (id *Identity) statelessResetKey() ([sha256.Size]byte, error) {
	st := id.current()

	der, err := x509.MarshalPKCS8PrivateKey(st.cert.PrivateKey)
	if err != nil {
		return [sha256.Size]byte{}, errors.Wrap(err, "encode key")
	}

	return sha256.Sum256(append([]byte("fulmarfall stateless reset\n"), der...)), nil
}

// NewUnverifiedIdentity creates the identity of a node for deployments without a CA. The certificate is self-signed and
// generated at each start, and the certificates of peers are not verified. Connections are encrypted, and a dialling node
// still checks that the peer claims the expected node id, so that traffic is not misrouted after an address has been
// reassigned. There is no protection against a process that claims a false id, so the network between nodes must be
// private.
func NewUnverifiedIdentity(node ident.NodeID) (*Identity, error) {
	pair, err := newSelfSignedKeys(node)
	if err != nil {
		return nil, err
	}

	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load self-signed key pair")
	}

	return &Identity{node: node, state: identityState{cert: cert, unverified: true}}, nil
}
