package kwsettings

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwsiteconfig"
	"knapweedproxy/io/kwkeys"
)

// Format is the value of the format key of every process settings file.
const Format = "knapweedproxy-process-1"

// TLS holds the paths of the certificate and key files; relative paths start from the settings file's folder.
type TLS struct {
	Authority   string `toml:"authority"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
}

// Peer is another control process.
type Peer struct {
	Node             kwid.NodeID           `toml:"node"`
	Listen           string                `toml:"listen"`
	AvailabilityZone kwid.AvailabilityZone `toml:"availability-zone"`
}

// Entry holds the settings of the entry role.
type Entry struct {
	HTTPListen          string                `toml:"http-listen"`
	ControlAddresses    []string              `toml:"control"`
	MaxRequestsInFlight int                   `toml:"requests-in-flight"`
	ViewLease           kwsiteconfig.Duration `toml:"view-lease"`
	ViewRenewInterval   kwsiteconfig.Duration `toml:"renew"`
	DrainTimeout        kwsiteconfig.Duration `toml:"drain-timeout"`
}

// Agent holds the settings of the agent role.
type Agent struct {
	Endpoint         kwid.EndpointID       `toml:"endpoint"`
	ControlAddresses []string              `toml:"control"`
	EngineURL        string                `toml:"engine-url"`
	ServiceURL       string                `toml:"service-url"`
	Service          kwid.ServiceName      `toml:"service"`
	HTTPListen       string                `toml:"http-listen"`
	AnnounceInterval kwsiteconfig.Duration `toml:"announce"`
	DrainTimeout     kwsiteconfig.Duration `toml:"drain-timeout"`
}

// Control holds the settings of the control role.
type Control struct {
	AdminListen      string `toml:"admin-listen"`
	AdminTokenSHA256 string `toml:"admin-token-sha256"`
	Peers            []Peer `toml:"peers"`
}

// Process is the settings file of one process.
type Process struct {
	Format           string                `toml:"format"`
	Role             kwkeys.Role           `toml:"role"`
	Node             kwid.NodeID           `toml:"node"`
	Site             kwid.Site             `toml:"site"`
	AvailabilityZone kwid.AvailabilityZone `toml:"availability-zone"`
	Listen           string                `toml:"listen"`
	DataFolder       string                `toml:"data-folder"`
	EventsFile       string                `toml:"events-file"`
	TLS              TLS                   `toml:"tls"`
	Entry            *Entry                `toml:"entry"`
	Agent            *Agent                `toml:"agent"`
	Control          *Control              `toml:"control"`
}

// Load reads, decodes and checks a settings file; an error names the file, the line and the key.
func Load(path string, role kwkeys.Role) (*Process, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, kwcode.New(kwcode.SettingsFile, "%v", err)
	}
	p, err := Parse(kwsiteconfig.File{Name: path, Text: string(text)}, role)
	if err != nil {
		return nil, err
	}
	folder := filepath.Dir(path)
	for _, field := range []*string{&p.TLS.Authority, &p.TLS.Certificate, &p.TLS.Key, &p.DataFolder, &p.EventsFile} {
		if *field != "" && !filepath.IsAbs(*field) {
			*field = filepath.Join(folder, *field)
		}
	}
	return p, nil
}

// Parse decodes and checks settings for a role; an empty role accepts any.
func Parse(file kwsiteconfig.File, role kwkeys.Role) (*Process, error) {
	var p Process
	if err := kwsiteconfig.Decode(file, &p); err != nil {
		return nil, err
	}
	c := checker{file: file}
	c.require(p.Format == Format, kwcode.SettingsBadValue, "format", "want %q, got %q", Format, p.Format)
	c.require(slices.Contains(kwkeys.Roles(), p.Role), kwcode.SettingsBadValue, "role", "want one of %v, got %q", kwkeys.Roles(), p.Role)
	c.require(role == "" || p.Role == role, kwcode.SettingsBadValue, "role", "want %q, got %q", role, p.Role)
	c.require(p.Node != "", kwcode.SettingsMissing, "node", "a process needs a node name")
	c.require(!strings.Contains(string(p.Node), "@"), kwcode.SettingsBadValue, "node", "a node name must not contain \"@\"")
	c.address("listen", p.Listen)
	c.require(p.TLS.Authority != "", kwcode.SettingsMissing, "tls.authority", "the path of the authority's certificate is required")
	c.require(p.TLS.Certificate != "", kwcode.SettingsMissing, "tls.certificate", "the path of the process's certificate is required")
	c.require(p.TLS.Key != "", kwcode.SettingsMissing, "tls.key", "the path of the process's key is required")
	switch p.Role {
	case kwkeys.RoleEntry:
		c.entry(&p)
	case kwkeys.RoleAgent:
		c.agent(&p)
	case kwkeys.RoleControl:
		c.control(&p)
	}
	if c.err != nil {
		return nil, c.err
	}
	return &p, nil
}

// maxViewLease is the longest view lease that control allows for when it reports a revision as in force.
const maxViewLease = 10 * time.Second

// checker records the first error of a settings file.
type checker struct {
	file kwsiteconfig.File
	err  error
}

// require records an error for a key unless ok is true or there is an earlier error.
func (c *checker) require(ok bool, code kwcode.Code, key, format string, args ...any) {
	if ok || c.err != nil {
		return
	}
	line := kwsiteconfig.LineOf(c.file.Text, key)
	c.err = kwcode.New(code, "%s:%d: key %q: %s", c.file.Name, line, key, fmt.Sprintf(format, args...))
}

// maxPort is the largest port number.
const maxPort = 65535

// address requires an IP address and a port; host names are rejected, since they are not resolved.
func (c *checker) address(key, text string) {
	c.require(text != "", kwcode.SettingsMissing, key, "want an IP address and a port")
	host, port, err := net.SplitHostPort(text)
	n, portErr := strconv.Atoi(port)
	ok := err == nil && net.ParseIP(host) != nil && portErr == nil && n >= 0 && n <= maxPort
	c.require(ok, kwcode.SettingsBadValue, key, "want an IP address and a port, got %q", text)
}

func (c *checker) addresses(key string, addresses []string) {
	c.require(len(addresses) > 0, kwcode.SettingsMissing, key, "want at least one control address")
	for _, a := range addresses {
		c.address(key, a)
	}
}

// duration requires a duration of at most an hour.
func (c *checker) duration(key string, d kwsiteconfig.Duration) {
	c.require(d.Std() >= 0 && d.Std() <= time.Hour, kwcode.SettingsBadValue, key, "want up to 1h, got %s", d.Std())
}

func (c *checker) entry(p *Process) {
	c.require(p.Entry != nil, kwcode.SettingsMissing, "entry", "an entry needs the table [entry]")
	c.require(p.Site != "", kwcode.SettingsMissing, "site", "an entry needs a site")
	if p.Entry == nil {
		return
	}
	c.address("entry.http-listen", p.Entry.HTTPListen)
	c.addresses("entry.control", p.Entry.ControlAddresses)
	c.require(p.Entry.MaxRequestsInFlight >= 0, kwcode.SettingsBadValue, "entry.requests-in-flight", "want 1 or more")
	c.require(p.Entry.ViewLease.Std() <= maxViewLease, kwcode.SettingsBadValue, "entry.view-lease", "want up to %s, got %s", maxViewLease, p.Entry.ViewLease.Std())
	c.duration("entry.renew", p.Entry.ViewRenewInterval)
	c.duration("entry.drain-timeout", p.Entry.DrainTimeout)
}

func (c *checker) agent(p *Process) {
	c.require(p.Agent != nil, kwcode.SettingsMissing, "agent", "an agent needs the table [agent]")
	c.require(p.Site != "", kwcode.SettingsMissing, "site", "an agent needs a site")
	c.require(p.AvailabilityZone != "", kwcode.SettingsMissing, "availability-zone", "an agent needs an availability zone")
	if p.Agent == nil {
		return
	}
	a := p.Agent
	c.require(a.Endpoint != "", kwcode.SettingsMissing, "agent.endpoint", "an agent needs an endpoint name")
	c.addresses("agent.control", a.ControlAddresses)
	c.require((a.EngineURL == "") != (a.ServiceURL == ""), kwcode.SettingsBadValue, "agent.engine-url", "set exactly one of engine-url and service-url")
	c.require(a.ServiceURL == "" || a.Service != "", kwcode.SettingsMissing, "agent.service", "service-url requires the name of the service")
	if a.HTTPListen != "" {
		c.address("agent.http-listen", a.HTTPListen)
	}
	c.duration("agent.announce", a.AnnounceInterval)
	c.duration("agent.drain-timeout", a.DrainTimeout)
}

func (c *checker) control(p *Process) {
	c.require(p.Control != nil, kwcode.SettingsMissing, "control", "a control process needs the table [control]")
	c.require(p.DataFolder != "", kwcode.SettingsMissing, "data-folder", "a control process needs a data folder")
	if p.Control == nil {
		return
	}
	c.address("control.admin-listen", p.Control.AdminListen)
	c.adminToken(p.Control)
	for _, peer := range p.Control.Peers {
		c.require(peer.Node != "" && peer.Node != p.Node, kwcode.SettingsBadValue, "control.peers", "a peer needs a node name other than this process's own")
		c.address("control.peers", peer.Listen)
	}
}

// sha256HexChars is the length of a hex-encoded SHA-256 digest.
const sha256HexChars = 64

// adminToken requires a token digest unless admin-listen is a loopback address, which only operators on the same VM
// reach.
func (c *checker) adminToken(ctl *Control) {
	_, err := hex.DecodeString(ctl.AdminTokenSHA256)
	valid := err == nil && len(ctl.AdminTokenSHA256) == sha256HexChars
	if ctl.AdminTokenSHA256 != "" {
		c.require(valid, kwcode.SettingsBadValue, "control.admin-token-sha256", "want %d hex characters", sha256HexChars)
		return
	}
	host, _, _ := net.SplitHostPort(ctl.AdminListen)
	ip := net.ParseIP(host)
	c.require(ip != nil && ip.IsLoopback(), kwcode.SettingsMissing, "control.admin-token-sha256", "required unless admin-listen is a loopback address")
}
