package commands

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwfake"
)

type standInCmd struct {
	Engine  standInEngineCmd  `cmd:"" help:"Run a stand-in for a model engine that holds a range of layers."`
	Records standInRecordsCmd `cmd:"" help:"Run a stand-in for a records server that counts its writes."`
}

type standInEngineCmd struct {
	Listen       string         `default:"127.0.0.1:0" help:"HTTP address."`
	Model        kwid.ModelName `default:"drafting" help:"Model name."`
	ModelLayers  int            `default:"12" help:"Number of layers of the whole model."`
	FirstLayer   kwid.Layer     `default:"0" help:"First layer that this engine holds."`
	LastLayer    kwid.Layer     `default:"11" help:"Last layer that this engine holds."`
	Rate         float64        `default:"4000" help:"Tokens per second with full batches."`
	MaxBatch     int            `default:"256" help:"Maximum number of tokens per iteration."`
	KVTokens     int            `default:"1048576" help:"Size of the KV cache in tokens."`
	PrefixTokens int            `default:"16384" help:"Size of the prefix cache in tokens."`
	LoadLag      time.Duration  `default:"200ms" help:"Age of the reported load."`
	ChecksFence  bool           `help:"Refuse orders with a stale fencing token."`
}

// Run serves until SIGINT or SIGTERM.
func (c *standInEngineCmd) Run(s *streams) error {
	interrupt := onInterrupt()
	e, err := kwfake.NewEngine(kwfake.EngineConfig{
		Listen:       c.Listen,
		Model:        c.Model,
		ModelLayers:  c.ModelLayers,
		Layers:       kwid.LayerRange{From: c.FirstLayer, To: c.LastLayer + 1},
		TokenRate:    c.Rate,
		MaxBatch:     c.MaxBatch,
		KVTokens:     c.KVTokens,
		PrefixTokens: c.PrefixTokens,
		LoadLag:      c.LoadLag,
		ChecksFence:  c.ChecksFence,
	})
	if err != nil {
		return err
	}
	defer e.Close()
	_, _ = fmt.Fprintln(s.out, e.URL())
	<-interrupt
	return nil
}

type standInRecordsCmd struct {
	Listen string `default:"127.0.0.1:0" help:"HTTP address."`
	Name   string `default:"records" help:"Server name."`
}

// Run serves until SIGINT or SIGTERM.
func (c *standInRecordsCmd) Run(s *streams) error {
	interrupt := onInterrupt()
	r, err := kwfake.NewRecords(kwfake.RecordsConfig{Listen: c.Listen, Name: c.Name})
	if err != nil {
		return err
	}
	defer r.Close()
	_, _ = fmt.Fprintf(s.out, "%s\n%s\n", r.URL(), r.CountsURL())
	<-interrupt
	return nil
}

// onInterrupt returns a channel that receives SIGINT and SIGTERM.
func onInterrupt() <-chan os.Signal {
	interrupt := make(chan os.Signal, 1)
	signal.Notify(interrupt, os.Interrupt, syscall.SIGTERM)
	return interrupt
}
