// Package kwqueue queues requests at an entry of a fleet without agents until a model server has a free slot, and rejects
// those that would wait too long. Package kwlimit limits the requests at an entry of a fleet with agents.
package kwqueue
