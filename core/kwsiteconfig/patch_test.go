package kwsiteconfig

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"knapweedproxy/core/kwid"
)

// randomFleet returns a declaration with one or two sites and up to 12 workspaces at each.
func randomFleet(rng *rand.Rand) *Fleet {
	f := &Fleet{Name: fmt.Sprint(rng.IntN(3))}
	for _, site := range []kwid.Site{"a", "b"}[:1+rng.IntN(2)] {
		s := SiteFleet{Site: site}
		for i := range 12 {
			if rng.IntN(3) > 0 {
				s.Workspaces = append(s.Workspaces, Workspace{Name: kwid.WorkspaceName(fmt.Sprint("w", i)), Weight: 1 + rng.IntN(3)})
			}
		}
		f.Sites = append(f.Sites, s)
	}
	return f
}

// TestApplyPatches checks that the patches between two declarations change one into the other.
func TestApplyPatches(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 500 {
		from, to := randomFleet(rng), randomFleet(rng)
		got := ApplyPatches(from, to.WithoutWorkspaces(), DiffWorkspaces(from, to))
		if got.Name != to.Name || len(got.Sites) != len(to.Sites) {
			t.Fatalf("got %+v, want %+v", got, to)
		}
		for i := range to.Sites {
			g, w := workspacesByName(got.Sites[i].Workspaces), workspacesByName(to.Sites[i].Workspaces)
			if !reflect.DeepEqual(g, w) || len(got.Sites[i].Workspaces) != len(w) {
				t.Fatalf("got %+v, want %+v", g, w)
			}
		}
	}
}
