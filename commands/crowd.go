package commands

import (
	"context"
	"net"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/platform/kwplatformtest"
)

type crowdCmd struct {
	Address string        `arg:"" help:"Host and port of the listener to try, one of your own deployment."`
	Path    string        `default:"/readyz" help:"Path of an ordinary GET request that the listener answers."`
	Host    string        `default:"localhost" help:"Host header of the requests."`
	Clients int           `default:"64" help:"Number of clients, 4,000 at most."`
	For     time.Duration `default:"4s" help:"How long each crowd stays, a minute at most."`
	JSON    bool          `help:"Print the rows as JSON."`
}

// Limits of a crowd.
const (
	maxCrowdClients = 4000
	maxCrowdTime    = time.Minute
)

// Run plays clients that don't behave against a listener, and fails if an ordinary request gets no answer afterwards.
func (c *crowdCmd) Run(s *streams) error {
	if _, _, err := net.SplitHostPort(c.Address); err != nil {
		return kwcode.New(kwcode.Usage, "%v", err)
	}
	if c.Clients < 1 || c.Clients > maxCrowdClients {
		return kwcode.New(kwcode.Usage, "--clients: %d is not between 1 and %d", c.Clients, maxCrowdClients)
	}
	if c.For <= 0 || c.For > maxCrowdTime {
		return kwcode.New(kwcode.Usage, "--for: %v is not between 0 and %v", c.For, maxCrowdTime)
	}
	rows, err := kwplatformtest.RunCrowds(context.Background(), kwplatformtest.CrowdConfig{
		Address: c.Address, Path: c.Path, Host: c.Host, Clients: c.Clients, Duration: c.For,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		err = writeJSON(s.out, rows)
	} else {
		err = kwplatformtest.WriteCrowdTable(s.out, rows)
	}
	for _, r := range rows {
		if err == nil && (r.During == 0 || r.After == 0) {
			err = kwcode.New(kwcode.PeerUnreachable, "%s: an ordinary request got no answer", r.Name)
		}
	}
	return err
}
