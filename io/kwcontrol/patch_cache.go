package kwcontrol

import (
	"knapweedproxy/core/kwsiteconfig"
)

// patchCache holds the newest diff between two fleet declarations. Nearly all watchers need the same one, as
// they hold the same declaration.
type patchCache struct {
	from    *kwsiteconfig.Fleet
	to      *kwsiteconfig.Fleet
	patches []kwsiteconfig.WorkspacePatch
}

// patches returns the difference between two fleet declarations as workspace patches. It must run on the control
// goroutine.
func (l *Loop) patches(from, to *kwsiteconfig.Fleet) []kwsiteconfig.WorkspacePatch {
	if l.lastPatches.from != from || l.lastPatches.to != to {
		l.lastPatches = patchCache{from: from, to: to, patches: kwsiteconfig.DiffWorkspaces(from, to)}
	}
	return l.lastPatches.patches
}
