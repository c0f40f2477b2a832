// Package kwqueue queues requests for free slots on model servers, and decides which of them to reject instead.
package kwqueue
