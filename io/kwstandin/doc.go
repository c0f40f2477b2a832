// Package kwstandin holds small stand-ins of the systems that the product serves: a model engine and a records
// service, with faults that tests and demonstrations switch on.
package kwstandin
