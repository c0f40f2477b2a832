package kwsiteconfig

import (
	"slices"

	"knapweedproxy/core/kwid"
)

// Patch changes the workspaces of one site.
type Patch struct {
	Site    kwid.Site            `cbor:"1,keyasint"`
	Changed []Workspace          `cbor:"2,keyasint,omitempty"`
	Removed []kwid.WorkspaceName `cbor:"3,keyasint,omitempty"`
}

// Skeleton returns the declaration without its workspaces, which are most of its size.
func (f *Fleet) Skeleton() *Fleet {
	out := *f
	out.Sites = slices.Clone(f.Sites)
	for i := range out.Sites {
		out.Sites[i].Workspaces = nil
	}
	return &out
}

// Diff returns the patches that turn the workspaces of one declaration into those of the next.
func Diff(from, to *Fleet) []Patch {
	var out []Patch
	for _, site := range to.Sites {
		before, _ := from.SiteOf(site.Site)
		p := Patch{Site: site.Site}
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

// Patched returns a skeleton with the workspaces of an older declaration, changed by the patches.
func Patched(from, skeleton *Fleet, patches []Patch) *Fleet {
	out := skeleton.Skeleton()
	for i := range out.Sites {
		site := &out.Sites[i]
		before, _ := from.SiteOf(site.Site)
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
func (p Patch) apply(all []Workspace) []Workspace {
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
