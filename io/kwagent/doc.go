// Package kwagent is the role beside each endpoint: it announces the endpoint, runs the stages of chains, carries
// service calls at most once, and drains.
package kwagent
