package kwdirectentry

import (
	"net"

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/io/kwguard"
)

// openGuards creates the guards of the listeners, which share the memory for heads.
func (g *Gateway) openGuards() {
	heads := kwbuffer.New(g.cfg.Capacity.HeadBytes())
	registerHeadMetrics(g.deps.Metrics, heads)
	g.callers = kwguard.New(kwguard.Config{
		Listener: "callers", MaxConnections: g.cfg.Capacity.MaxTrafficConnections(), Heads: heads, Limits: g.callerLimits,
		Metrics: g.deps.Metrics, Events: g.deps.Events,
	})
	pages := kwguard.PageConfig("readiness", g.cfg.Capacity, heads)
	pages.Metrics, pages.Events = g.deps.Metrics, g.deps.Events
	g.readiness = kwguard.New(pages)
}

// callerLimits returns the limits of the declaration in force. Connections may be idle for longer than it says, never for less.
func (g *Gateway) callerLimits() kwguard.Limits {
	out := kwguard.Limits{HeadBytes: maxHeaderBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout}
	v := g.view.Load()
	if v.index == nil {
		return out
	}
	declared := v.index.Declaration.Limits
	if declared.MaxHeaderBytes > 0 {
		out.HeadBytes = declared.MaxHeaderBytes
	}
	if declared.HeaderTimeout > 0 {
		out.HeadTimeout = declared.HeaderTimeout
	}
	out.IdleTimeout = max(idleTimeout, declared.IdleTimeout)
	return out
}

// acceptCallers returns the listener by which the server for callers accepts the connections of another one.
func (g *Gateway) acceptCallers(l net.Listener) net.Listener { return g.callers.Wrap(l) }
