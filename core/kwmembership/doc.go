// Package kwmembership keeps the leased membership of endpoints and entries: each row is valid as long as its owner
// renews the lease. Table holds the endpoints and entries of a fleet with agents, Roster the endpoints of a fleet without
// agents.
package kwmembership
