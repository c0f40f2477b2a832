// Package kwagent is the agent role, which runs next to each endpoint: it announces the endpoint to control, runs the
// stages of chains, makes service calls at most once, and drains the endpoint before it leaves.
package kwagent
