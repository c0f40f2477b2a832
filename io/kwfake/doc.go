// Package kwfake holds small fakes of the systems that the product serves: a model engine and a records service, with
// faults that tests and demonstrations switch on.
package kwfake
