package kwcontrol

import (
	"knapweedproxy/core/kwconfig"
)

// patchCache keeps the newest difference between two declarations, which nearly all watchers need.
type patchCache struct {
	from    *kwconfig.Fleet
	to      *kwconfig.Fleet
	patches []kwconfig.Patch
}

// patches runs on the control goroutine.
func (l *Loop) patches(from, to *kwconfig.Fleet) []kwconfig.Patch {
	if l.diff.from != from || l.diff.to != to {
		l.diff = patchCache{from: from, to: to, patches: kwconfig.Diff(from, to)}
	}
	return l.diff.patches
}
