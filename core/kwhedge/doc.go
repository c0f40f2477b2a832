// Package kwhedge decides on hedged requests: a second attempt beside one that takes longer than most of its class do.
//
// The delay is a quantile of the measured latencies of a class, the requests of one route for one service. The number of hedges is
// limited to a share of the requests that each entry has received itself, so the limit holds for any number of entries, also for those
// that are cut off. What an entry does not use within a second is lost, so that many entries cannot hedge at once what they have saved.
package kwhedge
