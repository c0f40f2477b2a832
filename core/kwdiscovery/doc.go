// Package kwdiscovery decides how processes find the members of the replicated log and its leader. Each process starts with a few addresses
// from its settings, its seeds. Some of these may belong to processes that are no members, have just started or have lost their disk, so that
// members tell the seeds of their own settings who the members are, and whoever is asked passes on what it knows.
package kwdiscovery
