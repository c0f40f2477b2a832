package kwsiteconfig

import (
	"slices"

	"knapweedproxy/core/kwid"
)

// WorkspacePatch changes the workspaces of one site.
type WorkspacePatch struct {
	Site    kwid.Site            `cbor:"1,keyasint"`
	Changed []Workspace          `cbor:"2,keyasint,omitempty"`
	Removed []kwid.WorkspaceName `cbor:"3,keyasint,omitempty"`
}

// WithoutWorkspaces returns the declaration without its workspaces, which are most of its size.
func (f *Fleet) WithoutWorkspaces() *Fleet {
	out := *f
	out.Sites = slices.Clone(f.Sites)
	for i := range out.Sites {
		out.Sites[i].Workspaces = nil
	}
	return &out
}

// DiffWorkspaces returns the patches that turn the workspaces of one declaration into those of the next.
func DiffWorkspaces(from, to *Fleet) []WorkspacePatch {
	var out []WorkspacePatch
	for _, site := range to.Sites {
		before, _ := from.Site(site.Site)
		p := WorkspacePatch{Site: site.Site}
		old := byName(before.Workspaces)
		for _, w := range site.Workspaces {
			if was, ok := old[w.Name]; !ok || was != w {
				p.Changed = append(p.Changed, w)
			}
			delete(old, w.Name)
		}
		for _, w := range before.Workspaces {
			if _, gone := old[w.Name]; gone {
				p.Removed = append(p.Removed, w.Name)
			}
		}
		if len(p.Changed)+len(p.Removed) > 0 {
			out = append(out, p)
		}
	}
	return out
}

func byName(all []Workspace) map[kwid.WorkspaceName]Workspace {
	out := make(map[kwid.WorkspaceName]Workspace, len(all))
	for _, w := range all {
		out[w.Name] = w
	}
	return out
}

// ApplyPatches returns a skeleton with the workspaces of an older declaration, changed by the patches.
func ApplyPatches(from, skeleton *Fleet, patches []WorkspacePatch) *Fleet {
	out := skeleton.WithoutWorkspaces()
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

// apply changes rows in place and appends new ones; limits do not depend on the order of workspaces.
func (p WorkspacePatch) apply(all []Workspace) []Workspace {
	changed := byName(p.Changed)
	out := all[:0]
	for _, w := range all {
		if slices.Contains(p.Removed, w.Name) {
			continue
		}
		if now, ok := changed[w.Name]; ok {
			w = now
			delete(changed, w.Name)
		}
		out = append(out, w)
	}
	for _, w := range p.Changed {
		if _, left := changed[w.Name]; left {
			out = append(out, w)
		}
	}
	return out
}
