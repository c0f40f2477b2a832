package kwsiteconfig

import (
	"slices"

	"knapweedproxy/core/kwid"
)

// WorkspacePatch is a change to the workspaces of one site.
type WorkspacePatch struct {
	Site    kwid.Site            `cbor:"1,keyasint"`
	Changed []Workspace          `cbor:"2,keyasint,omitempty"`
	Removed []kwid.WorkspaceName `cbor:"3,keyasint,omitempty"`
}

// WithoutWorkspaces returns a copy of the declaration without its workspaces, which make up most of its size.
func (f *Fleet) WithoutWorkspaces() *Fleet {
	out := *f
	out.Sites = slices.Clone(f.Sites)
	for i := range out.Sites {
		out.Sites[i].Workspaces = nil
	}
	return &out
}

// DiffWorkspaces returns the patches that change the workspaces of one declaration into those of another.
func DiffWorkspaces(from, to *Fleet) []WorkspacePatch {
	var out []WorkspacePatch
	for _, site := range to.Sites {
		before, _ := from.Site(site.Site)
		p := WorkspacePatch{Site: site.Site}
		old := workspacesByName(before.Workspaces)
		for _, w := range site.Workspaces {
			if previous, ok := old[w.Name]; !ok || previous != w {
				p.Changed = append(p.Changed, w)
			}
			delete(old, w.Name)
		}
		for _, w := range before.Workspaces {
			if _, removed := old[w.Name]; removed {
				p.Removed = append(p.Removed, w.Name)
			}
		}
		if len(p.Changed)+len(p.Removed) > 0 {
			out = append(out, p)
		}
	}
	return out
}

func workspacesByName(workspaces []Workspace) map[kwid.WorkspaceName]Workspace {
	out := make(map[kwid.WorkspaceName]Workspace, len(workspaces))
	for _, w := range workspaces {
		out[w.Name] = w
	}
	return out
}

// ApplyPatches returns a copy of to with the workspaces of from, changed by the patches.
func ApplyPatches(from, to *Fleet, patches []WorkspacePatch) *Fleet {
	out := to.WithoutWorkspaces()
	for i := range out.Sites {
		site := &out.Sites[i]
		before, _ := from.Site(site.Site)
		site.Workspaces = slices.Clone(before.Workspaces)
		for _, p := range patches {
			if p.Site == site.Site {
				site.Workspaces = p.apply(site.Workspaces)
			}
		}
	}
	return out
}

// apply changes workspaces in place and appends new ones; their order has no effect on limits.
func (p WorkspacePatch) apply(workspaces []Workspace) []Workspace {
	changed := workspacesByName(p.Changed)
	out := workspaces[:0]
	for _, w := range workspaces {
		if slices.Contains(p.Removed, w.Name) {
			continue
		}
		if update, ok := changed[w.Name]; ok {
			w = update
			delete(changed, w.Name)
		}
		out = append(out, w)
	}
	for _, w := range p.Changed {
		if _, added := changed[w.Name]; added {
			out = append(out, w)
		}
	}
	return out
}
