// Package kwcode holds the numbered result codes that callers, operators and processes see.
package kwcode
