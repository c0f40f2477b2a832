// Package kwagententry is the entry role of a fleet with agents: it admits callers' requests, chooses a chain or an
// endpoint for each, retries failed ones and answers repeats from the idempotency journal. Package kwdirectentry is the
// entry role of a fleet without agents.
package kwagententry
