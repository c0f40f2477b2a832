package commands

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwkeys"
)

type keysCmd struct {
	Init  keysInitCmd  `cmd:"" help:"Create the fleet's certificate authority."`
	Issue keysIssueCmd `cmd:"" help:"Issue or renew the key of a process; running processes load a renewed key by themselves."`
	List  keysListCmd  `cmd:"" help:"List the keys with their expiry."`
	Token keysTokenCmd `cmd:"" help:"Generate a bearer token and the digest of it for the settings."`
}

type keysInitCmd struct {
	Folder string `required:"" type:"path" help:"The key folder."`
}

// Run creates the certificate authority.
func (c *keysInitCmd) Run(s *streams) error {
	if err := kwkeys.CreateAuthority(c.Folder, time.Now()); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(s.out, "authority created in %s; keep %s away from every VM\n", c.Folder, kwkeys.AuthorityKeyFile)
	return nil
}

type keysIssueCmd struct {
	Folder   string        `required:"" type:"path" help:"The key folder."`
	Node     kwid.NodeID   `required:"" help:"The process's node name."`
	Role     kwkeys.Role   `required:"" enum:"entry,control,agent" help:"The process's role: entry, control or agent."`
	Validity time.Duration `default:"2160h" help:"How long the key is valid."`
}

// Run issues or renews a key.
func (c *keysIssueCmd) Run(s *streams) error {
	if c.Validity <= 0 {
		return kwcode.New(kwcode.Usage, "--validity: must be greater than 0")
	}
	req := kwkeys.IssueRequest{Folder: c.Folder, Node: c.Node, Role: c.Role, Validity: c.Validity}
	if err := kwkeys.Issue(req, time.Now()); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(s.out, "key of %s (%s) issued, valid for %s\n", c.Node, c.Role, c.Validity)
	return nil
}

type keysListCmd struct {
	Folder string `required:"" type:"path" help:"The key folder."`
}

// Run prints the keys with their roles and expiry.
func (c *keysListCmd) Run(s *streams) error {
	identities, err := kwkeys.ListIdentities(c.Folder)
	if err != nil {
		return err
	}
	for _, id := range identities {
		_, _ = fmt.Fprintf(s.out, "%-24s %-8s expires %s\n", id.Node, id.Role, id.Expires.Format(time.RFC3339))
	}
	return nil
}

type keysTokenCmd struct{}

// tokenBytes is the number of random bytes in a token.
const tokenBytes = 24

// Run generates a token and prints it with its digest.
func (c *keysTokenCmd) Run(s *streams) error {
	raw := make([]byte, tokenBytes)
	if _, err := rand.Read(raw); err != nil {
		return kwcode.New(kwcode.OperationFailed, "%v", err)
	}
	token := hex.EncodeToString(raw)
	sum := sha256.Sum256([]byte(token))
	_, _ = fmt.Fprintf(s.out, "token  = %s\nsha256 = %s\n", token, hex.EncodeToString(sum[:]))
	return nil
}
