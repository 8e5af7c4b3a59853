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

// ALPN is the application protocol between nodes.
const ALPN = "fulmarfall/1"

// ErrWrongPeer is wrapped when the certificate of a peer names another node than expected.
var ErrWrongPeer = errors.New("peer is another node")

// KeyFiles names the files of an identity. Two CA files are given during a change of the CA.
type KeyFiles struct {
	CAs  []string
	Cert string
	Key  string
}

// Identity holds the keys of this node and the CAs that it accepts. It is safe
// for concurrent use; Reload replaces the keys for new handshakes.
type Identity struct {
	files KeyFiles
	node  ident.NodeID

	mu    sync.RWMutex
	state identityState
}

type identityState struct {
	cert  tls.Certificate
	roots *x509.CertPool
	sum   [sha256.Size]byte
	// unverified takes certificates of any issuer; see NewUnverifiedIdentity.
	unverified bool
}

// LoadIdentity reads the keys of a node.
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

// Node returns the node that the certificate names.
func (id *Identity) Node() ident.NodeID { return id.node }

// Reload reads the files again and tells whether they have changed. After an
// error the former keys stay in use.
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

	changed = st.sum != id.state.sum
	id.state = st

	return changed, nil
}

func (f KeyFiles) read() (identityState, error) {
	st := identityState{roots: x509.NewCertPool()}
	if len(f.CAs) == 0 {
		return st, errors.New("no CA file is given")
	}

	sum := sha256.New()

	for _, name := range f.CAs {
		data, err := os.ReadFile(name)
		if err != nil {
			return st, errors.Wrap(err, "read CA")
		}

		if !st.roots.AppendCertsFromPEM(data) {
			return st, fmt.Errorf("read CA: %s holds no certificate", name)
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
		return st, errors.Wrapf(err, "match %s and %s", f.Cert, f.Key)
	}

	_, _ = sum.Write(bytes.Join([][]byte{certPEM, keyPEM}, nil))
	sum.Sum(st.sum[:0])

	if err := st.verify(st.cert.Leaf, nil, x509.ExtKeyUsageServerAuth); err != nil {
		return st, errors.Wrapf(err, "check %s against the CA files", f.Cert)
	}

	return st, nil
}

func (st *identityState) verify(leaf *x509.Certificate, rest []*x509.Certificate, usage x509.ExtKeyUsage) error {
	if st.unverified {
		return nil
	}

	between := x509.NewCertPool()
	for _, cert := range rest {
		between.AddCert(cert)
	}

	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: st.roots, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{usage},
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

// accepts tells whether the certificate of a peer is still signed by an accepted CA.
func (id *Identity) accepts(chain []*x509.Certificate) error {
	st := id.current()

	return st.verify(chain[0], chain[1:], x509.ExtKeyUsageClientAuth)
}

// Both sides verify in verifyPeer: crypto/tls would compare host names, which
// node ids are not. Session tickets are off so that each connection shows the
// certificate again, under the CAs of its day.
func (id *Identity) config(usage x509.ExtKeyUsage, check func(ident.NodeID) error) *tls.Config {
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
	cfg := id.config(x509.ExtKeyUsageClientAuth, anyNode)
	cfg.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return id.config(x509.ExtKeyUsageClientAuth, anyNode), nil
	}

	return cfg
}

func (id *Identity) clientConfig(to ident.NodeID) *tls.Config {
	return id.config(x509.ExtKeyUsageServerAuth, func(node ident.NodeID) error {
		if node != to {
			return fmt.Errorf("certificate names %q, expected %q: %w", node, to, ErrWrongPeer)
		}

		return nil
	})
}

// resetKey lets a restarted node reset connections of its former process, so
// that peers need not wait for the idle timeout.
func (id *Identity) resetKey() ([sha256.Size]byte, error) {
	st := id.current()

	der, err := x509.MarshalPKCS8PrivateKey(st.cert.PrivateKey)
	if err != nil {
		return [sha256.Size]byte{}, errors.Wrap(err, "encode key")
	}

	return sha256.Sum256(append([]byte("fulmarfall stateless reset\n"), der...)), nil
}

// NewUnverifiedIdentity makes the identity of a node on machines for which nobody issues keys. The certificate is
// signed by itself and drawn anew at each start, and those of peers are taken as they are. Connections are encrypted,
// and a node that dials an address learns whether the process there claims the expected node id, so traffic does not go
// astray after an address has passed to another process. Nothing protects against a process that lies about its id:
// the network between the nodes has to be private.
func NewUnverifiedIdentity(node ident.NodeID) (*Identity, error) {
	pair, err := newSelfSignedKeys(node)
	if err != nil {
		return nil, err
	}

	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, errors.Wrap(err, "read own keys")
	}

	return &Identity{node: node, state: identityState{cert: cert, unverified: true}}, nil
}
