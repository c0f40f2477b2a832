// Package kwdemo runs a complete small fleet in one process, with each role on its own loopback sockets. The
// demonstration, the scenario tests and the load tests use it.
package kwdemo
