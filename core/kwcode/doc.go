// Package kwcode defines the numbered result codes that callers, operators and processes see.
package kwcode
