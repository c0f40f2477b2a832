// Package kwretry decides which failed requests may be retried within a retry budget, and ejects failing endpoints.
package kwretry
