// Package kwlimit limits the requests in flight at an entry of a fleet with agents, per workspace and in total, and
// estimates how long responses take. Package kwqueue queues requests at an entry of a fleet without agents.
package kwlimit
