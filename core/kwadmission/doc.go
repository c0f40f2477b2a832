// Package kwadmission decides, across all entries, which share of the requests of each priority class of a service is served while
// capacity is short, so that less urgent requests at one entry do not take the capacity that more urgent ones at another entry need.
package kwadmission
