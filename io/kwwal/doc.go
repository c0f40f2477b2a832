// Package kwwal implements a write-ahead log: checksummed records in segment files, and snapshots, in one data folder.
// A record is durable only once it has been synced.
package kwwal
