// Package kwretry decides which failures may be tried again, within a retry budget, and ejects failing endpoints.
package kwretry
