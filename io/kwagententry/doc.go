// Package kwagententry is the caller-facing entry role of a fleet with agents: admission, chain selection, retries and
// the idempotency journal. Package kwdirectentry is the entry of a fleet without agents.
package kwagententry
