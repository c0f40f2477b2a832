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

// Config names the files of one process.
type Config struct {
	Authority   string
	Certificate string
	Key         string
}

// FolderConfig returns the files of a node inside an authority's folder.
func FolderConfig(folder string, node kwid.NodeID) Config {
	base := filepath.Join(folder, string(node))
	return Config{
		Authority:   filepath.Join(folder, AuthorityCertFile),
		Certificate: base + certSuffix,
		Key:         base + keySuffix,
	}
}

// Identity is what a certificate says of a peer.
type Identity struct {
	Node    kwid.NodeID
	Role    Role
	Expires time.Time
}

// Store serves the process's key pair to TLS and reads it again after the files change.
type Store struct {
	cfg   Config
	mu    sync.Mutex
	files keyFiles
	pair  *tls.Certificate
	self  Identity
	roots *x509.CertPool
}

// keyFiles is the content of a key pair's files. Content decides whether they changed: two writes within one tick of
// the file system's clock bear the same time.
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

// Open reads the files; it returns KeyFileBad for files that cannot be used.
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

// reload takes the files into use if they differ from those in use and belong together.
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
	s.files, s.pair, s.self = files, &pair, identityOf(leaf)
	return nil
}

// current returns the newest usable key pair; files that are missing or half renewed keep the old pair in use.
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

func identityOf(cert *x509.Certificate) Identity {
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
	return identityOf(state.PeerCertificates[0]), nil
}

// ServerTLS returns the TLS settings of a listener: peers must show a key of the authority.
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

// ClientTLS returns the TLS settings of an outgoing connection.
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

// ListIdentities returns the identities of the key pairs in an authority's folder, in file order.
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
		out = append(out, identityOf(cert))
	}
	return out, nil
}
