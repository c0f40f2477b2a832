// Package kwevent writes numbered log events and the time line of events that all processes share.
package kwevent
