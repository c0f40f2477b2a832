// Package kwengine defines the HTTP protocol between an agent and its model engine, which holds a range of layers, and
// implements the client.
package kwengine
