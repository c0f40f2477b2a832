// Package kwentry is the role that callers talk to: admission, chain choice, retries and the idempotency journal.
package kwentry
