// Package kwdirectentry is the entry role of a fleet without agents: an HTTP reverse proxy in front of endpoints that
// announce themselves to the control processes. It routes each request by the declaration, picks an endpoint or a chain
// for it and relays the response. Package kwagententry is the entry role of a fleet with agents.
//
// A chain is a pipeline of model servers, its stages, which together hold all layers of a model. The gateway sends a
// request to the first stage; the engines pass it on to each other. A view is what the gateway knows of the declaration
// and the endpoints, as last confirmed by the control processes.
package kwdirectentry
