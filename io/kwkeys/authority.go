package kwkeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// Role is the function of a process in the fleet; a certificate is issued for one role.
type Role string

const (
	// RoleEntry accepts requests from callers.
	RoleEntry Role = "entry"
	// RoleControl stores the durable state of the fleet.
	RoleControl Role = "control"
	// RoleAgent runs next to an endpoint.
	RoleAgent Role = "agent"
)

// Roles lists every role.
func Roles() []Role {
	return []Role{RoleEntry, RoleControl, RoleAgent}
}

// File names of an authority and of a node's key pair inside a folder.
const (
	AuthorityCertFile = "authority.crt"
	AuthorityKeyFile  = "authority.key"
	certSuffix        = ".crt"
	keySuffix         = ".key"
)

// Validity periods of certificates.
const (
	AuthorityValidity = 10 * 365 * 24 * time.Hour
	DefaultValidity   = 90 * 24 * time.Hour
	// clockSkew backdates new certificates for processes whose clocks are behind.
	clockSkew = 5 * time.Minute
)

// ServerName is the DNS name in every certificate; the node ID is the common name.
const ServerName = "knapweedproxy.internal"

const (
	folderMode  = 0o700
	keyFileMode = 0o600
	serialBits  = 127
)

// CreateAuthority creates a certificate authority in a folder; it fails if the folder already has one.
func CreateAuthority(folder string, now time.Time) error {
	path := filepath.Join(folder, AuthorityKeyFile)
	if _, err := os.Stat(path); err == nil {
		return kwcode.New(kwcode.KeyFileBad, "%s exists; an authority is never replaced", path)
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return eris.Wrap(err, "create the key folder")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return eris.Wrap(err, "generate the authority key")
	}
	cert := certificateTemplate("knapweedproxy authority", now, AuthorityValidity)
	cert.IsCA = true
	cert.BasicConstraintsValid = true
	cert.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, key.Public(), key)
	if err != nil {
		return eris.Wrap(err, "sign the authority certificate")
	}
	return writePair(filepath.Join(folder, "authority"), der, key)
}

// IssueRequest describes the key pair to issue.
type IssueRequest struct {
	Folder   string
	Node     kwid.NodeID
	Role     Role
	Validity time.Duration
}

// Issue creates a key pair for a node, signed by the folder's authority; it replaces an existing pair.
func Issue(req IssueRequest, now time.Time) error {
	if filepath.Base(string(req.Node)) != string(req.Node) || req.Node == "" || req.Node == "authority" {
		return kwcode.New(kwcode.Usage, "node name %q cannot be used as a file name", req.Node)
	}
	authority, signer, err := readAuthority(req.Folder)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return eris.Wrap(err, "generate a node key")
	}
	cert := certificateTemplate(string(req.Node), now, req.Validity)
	cert.Subject.OrganizationalUnit = []string{string(req.Role)}
	cert.DNSNames = []string{ServerName}
	cert.KeyUsage = x509.KeyUsageDigitalSignature
	cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, cert, authority, key.Public(), signer)
	if err != nil {
		return eris.Wrap(err, "sign a node certificate")
	}
	return writePair(filepath.Join(req.Folder, string(req.Node)), der, key)
}

func certificateTemplate(name string, now time.Time, validity time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		serial = big.NewInt(now.UnixNano())
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}
}

func readAuthority(folder string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	cert, err := readCert(filepath.Join(folder, AuthorityCertFile))
	if err != nil {
		return nil, nil, err
	}
	path := filepath.Join(folder, AuthorityKeyFile)
	block, err := readPEM(path)
	if err != nil {
		return nil, nil, err
	}
	key, err := x509.ParseECPrivateKey(block)
	if err != nil {
		return nil, nil, kwcode.New(kwcode.KeyFileBad, "%s: %v", path, err)
	}
	return cert, key, nil
}

func readCert(path string) (*x509.Certificate, error) {
	block, err := readPEM(path)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(block)
	if err != nil {
		return nil, kwcode.New(kwcode.KeyFileBad, "%s: %v", path, err)
	}
	return cert, nil
}

func readPEM(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, kwcode.New(kwcode.KeyFileBad, "%v", err)
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, kwcode.New(kwcode.KeyFileBad, "%s contains no PEM block", path)
	}
	return block.Bytes, nil
}

// writePair replaces the key file and then the certificate file, each atomically.
func writePair(base string, der []byte, key *ecdsa.PrivateKey) error {
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return eris.Wrap(err, "encode a private key")
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw})
	if err := replaceFile(base+keySuffix, keyPEM); err != nil {
		return err
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return replaceFile(base+certSuffix, certPEM)
}

func replaceFile(path string, data []byte) error {
	tmp := path + ".tmp"
	if err := os.WriteFile(tmp, data, keyFileMode); err != nil {
		return eris.Wrap(err, "write a key file")
	}
	return eris.Wrap(os.Rename(tmp, path), "replace a key file")
}
