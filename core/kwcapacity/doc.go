// Package kwcapacity works out what control costs each role at a fleet size, from measured slopes.
package kwcapacity
