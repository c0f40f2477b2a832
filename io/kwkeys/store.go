package kwkeys

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"sync"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// Config holds the file paths of the key pair of one process and of its authority's certificate.
type Config struct {
	Authority   string
	Certificate string
	Key         string
}

// FolderConfig returns the paths of a node's files in an authority's folder.
func FolderConfig(folder string, node kwid.NodeID) Config {
	base := filepath.Join(folder, string(node))
	return Config{
		Authority:   filepath.Join(folder, AuthorityCertFile),
		Certificate: base + certSuffix,
		Key:         base + keySuffix,
	}
}

// Identity is what a certificate says about its holder.
type Identity struct {
	Node    kwid.NodeID
	Role    Role
	Expires time.Time
}

// Store provides the process's key pair to TLS and reloads it when the files change.
type Store struct {
	cfg   Config
	mu    sync.Mutex
	files keyFiles
	pair  *tls.Certificate
	self  Identity
	roots *x509.CertPool
}

// keyFiles is the content of a key pair's files. Changes are detected by content, since two writes within one tick of
// the file system's clock leave the same modification time.
type keyFiles struct {
	certificate []byte
	key         []byte
}

func readKeyFiles(cfg Config) (keyFiles, error) {
	certificate, err := os.ReadFile(cfg.Certificate)
	if err != nil {
		return keyFiles{}, kwcode.New(kwcode.KeyFileBad, "%v", err)
	}
	key, err := os.ReadFile(cfg.Key)
	if err != nil {
		return keyFiles{}, kwcode.New(kwcode.KeyFileBad, "%v", err)
	}
	return keyFiles{certificate: certificate, key: key}, nil
}

func (f keyFiles) equal(other keyFiles) bool {
	return bytes.Equal(f.certificate, other.certificate) && bytes.Equal(f.key, other.key)
}

// Open loads the files; it returns a KeyFileBad error if they cannot be used.
func Open(cfg Config) (*Store, error) {
	authority, err := readCert(cfg.Authority)
	if err != nil {
		return nil, err
	}
	s := &Store{cfg: cfg, roots: x509.NewCertPool()}
	s.roots.AddCert(authority)
	if err := s.reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// reload loads the files if they have changed; it fails if the key does not match the certificate.
func (s *Store) reload() error {
	files, err := readKeyFiles(s.cfg)
	if err != nil {
		return err
	}
	if s.pair != nil && files.equal(s.files) {
		return nil
	}
	pair, err := tls.X509KeyPair(files.certificate, files.key)
	if err != nil {
		return kwcode.New(kwcode.KeyFileBad, "%s: %v", s.cfg.Certificate, err)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return kwcode.New(kwcode.KeyFileBad, "%s: %v", s.cfg.Certificate, err)
	}
	s.files, s.pair, s.self = files, &pair, certificateIdentity(leaf)
	return nil
}

// current returns the newest usable key pair; while files are missing or only one of them is renewed, the old pair stays
// in use.
func (s *Store) current() *tls.Certificate {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.reload()
	return s.pair
}

// Self returns the identity in the process's own certificate.
func (s *Store) Self() Identity {
	s.current()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self
}

func certificateIdentity(cert *x509.Certificate) Identity {
	id := Identity{Node: kwid.NodeID(cert.Subject.CommonName), Expires: cert.NotAfter}
	if len(cert.Subject.OrganizationalUnit) == 1 {
		id.Role = Role(cert.Subject.OrganizationalUnit[0])
	}
	return id
}

// PeerIdentity returns the identity of a verified peer.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, kwcode.New(kwcode.PeerUnknown, "the peer sent no certificate")
	}
	return certificateIdentity(state.PeerCertificates[0]), nil
}

// ServerTLS returns the TLS configuration of a listener, which requires client certificates signed by the authority.
func (s *Store) ServerTLS(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  s.roots,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.current(), nil
		},
	}
}

// ClientTLS returns the TLS configuration of an outgoing connection.
func (s *Store) ClientTLS(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		RootCAs:    s.roots,
		ServerName: ServerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.current(), nil
		},
	}
}

// ListIdentities returns the identities of all certificates in an authority's folder, sorted by file name.
func ListIdentities(folder string) ([]Identity, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*"+certSuffix))
	if err != nil {
		return nil, kwcode.New(kwcode.KeyFileBad, "%v", err)
	}
	var out []Identity
	for _, path := range paths {
		cert, err := readCert(path)
		if err != nil {
			return nil, err
		}
		out = append(out, certificateIdentity(cert))
	}
	return out, nil
}
