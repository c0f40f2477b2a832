// Package kwfake implements fake backends for tests, load tests and demonstrations: a model engine and a records
// service, both with fault injection.
package kwfake
