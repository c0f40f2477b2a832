// Package kwqueue queues requests until a model server has a free slot, and rejects those that would wait too long.
package kwqueue
