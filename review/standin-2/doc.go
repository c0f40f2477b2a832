// Command standin-2 plays the scripts of the second review: it starts the deployed program as separate processes on loopback, with
// stand-ins of servers, clients and the operator around them, and checks one rule.
package main
