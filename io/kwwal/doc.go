// Package kwwal keeps a checksummed, segmented log and snapshots in one data folder; only synced records count.
package kwwal
