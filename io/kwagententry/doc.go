// Package kwagententry is the entry role of a fleet with agents, which callers talk to: admission, chain choice,
// retries and the idempotency journal. kwdirectentry is the one without agents.
package kwagententry
