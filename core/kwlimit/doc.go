// Package kwlimit limits the requests in flight per workspace and in total, and estimates how long responses take.
package kwlimit
