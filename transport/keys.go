// Package transport carries wire messages between nodes over QUIC with mutual TLS.
//
// Two nodes share one connection, whichever side dialled it. Each call uses its own stream; best-effort messages to a peer
// share one stream, which preserves their order. The error of a failed call states whether the peer may have handled it.
package transport

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/url"
	"time"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
)

const (
	nodeScheme = "fulmarfall"
	nodeHost   = "node"

	certBlock = "CERTIFICATE"
	keyBlock  = "PRIVATE KEY"

	// Certificates are backdated by this much, so that nodes with slow clocks accept new ones.
	clockSkew = 5 * time.Minute
)

// ErrNoNodeID is wrapped when a certificate does not identify exactly one node.
var ErrNoNodeID = errors.New("certificate does not name a node")

// KeyPair is a PEM-encoded certificate and its private key.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// NewCA creates a self-signed certificate authority that issues node certificates.
func NewCA(name string, validFor time.Duration) (KeyPair, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: name},
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}

	return issue(template, validFor, nil)
}

// NewNodeKeys issues the certificate of a node. The node id is stored in a URI of the form fulmarfall://node/<id>, because
// node ids need not be valid host names.
func NewNodeKeys(ca KeyPair, node ident.NodeID, validFor time.Duration) (KeyPair, error) {
	if node == "" {
		return KeyPair{}, errors.New("node id is empty")
	}

	parent, err := tls.X509KeyPair(ca.Cert, ca.Key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "load CA key pair")
	}

	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: string(node)},
		URIs:        []*url.URL{nodeURI(node)},
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}

	return issue(template, validFor, &parent)
}

// selfSignedValidity is the lifetime of the certificate of an unverified identity. Peers do not check it, so the expiry only
// has to be in the future.
const selfSignedValidity = 365 * 24 * time.Hour

func newSelfSignedKeys(node ident.NodeID) (KeyPair, error) {
	if node == "" {
		return KeyPair{}, errors.New("node id is empty")
	}

	return issue(&x509.Certificate{
		Subject:  pkix.Name{CommonName: string(node)},
		URIs:     []*url.URL{nodeURI(node)},
		KeyUsage: x509.KeyUsageDigitalSignature,
	}, selfSignedValidity, nil)
}

func issue(template *x509.Certificate, validFor time.Duration, parent *tls.Certificate) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "generate key")
	}

	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "generate serial number")
	}

	now := time.Now()
	template.SerialNumber = serial
	template.NotBefore = now.Add(-clockSkew)
	template.NotAfter = now.Add(validFor)

	issuer, signer := template, any(key)
	if parent != nil {
		issuer, signer = parent.Leaf, parent.PrivateKey
	}

	der, err := x509.CreateCertificate(rand.Reader, template, issuer, &key.PublicKey, signer)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "sign certificate")
	}

	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "encode key")
	}

	return KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: certBlock, Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: keyBlock, Bytes: keyDER}),
	}, nil
}

func nodeURI(node ident.NodeID) *url.URL {
	return &url.URL{Scheme: nodeScheme, Host: nodeHost, Path: "/" + string(node)}
}

// NodeOf returns the id of the node that a certificate identifies, taken from its URI or, if it has no URI, from its common
// name.
func NodeOf(cert *x509.Certificate) (ident.NodeID, error) {
	switch len(cert.URIs) {
	case 0:
		if cert.Subject.CommonName == "" {
			return "", fmt.Errorf("certificate %x has no URI and no common name: %w", cert.SerialNumber, ErrNoNodeID)
		}

		return ident.NodeID(cert.Subject.CommonName), nil
	case 1:
		u := cert.URIs[0]
		if u.Scheme != nodeScheme || u.Host != nodeHost || len(u.Path) < 2 {
			return "", fmt.Errorf("certificate %x names %s: %w", cert.SerialNumber, u, ErrNoNodeID)
		}

		return ident.NodeID(u.Path[1:]), nil
	default:
		return "", fmt.Errorf("certificate %x has %d URIs: %w", cert.SerialNumber, len(cert.URIs), ErrNoNodeID)
	}
}
