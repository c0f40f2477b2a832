// Package kwengine is the HTTP protocol of a model engine that holds a range of layers, and its client.
package kwengine
