// Package kwevent writes numbered log events and the timeline of events that all processes share.
package kwevent
