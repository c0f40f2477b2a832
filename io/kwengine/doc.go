// Package kwengine defines the HTTP protocol of a model engine that holds a range of layers, and implements its client.
package kwengine
