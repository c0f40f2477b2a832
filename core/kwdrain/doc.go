// Package kwdrain decides which calls an entry that stops still passes on.
package kwdrain
