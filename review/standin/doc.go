// Command standin plays the platform, the servers, the callers and the operator of a small deployment on loopback addresses, and
// starts the deployed program as separate processes. Each scenario checks one rule and writes what it saw to a record.
package main
