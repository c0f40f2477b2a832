package kwcontrol

import (
	"knapweedproxy/core/kwsiteconfig"
)

// patchCache keeps the newest difference between two declarations, which nearly all watchers need.
type patchCache struct {
	from    *kwsiteconfig.Fleet
	to      *kwsiteconfig.Fleet
	patches []kwsiteconfig.WorkspacePatch
}

// patches runs on the control goroutine.
func (l *Loop) patches(from, to *kwsiteconfig.Fleet) []kwsiteconfig.WorkspacePatch {
	if l.diff.from != from || l.diff.to != to {
		l.diff = patchCache{from: from, to: to, patches: kwsiteconfig.DiffWorkspaces(from, to)}
	}
	return l.diff.patches
}
