package kwdirectentry

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"testing"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwdelta"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/io/kwdirectproto"
)

// numberDecoder decodes a declaration that starts with its number.
type numberDecoder struct{}

func (numberDecoder) Decode(content []byte) (*kwdeclaration.Declaration, error) {
	number, _, _ := bytes.Cut(content, []byte(" "))
	n, err := strconv.Atoi(string(number))
	return &kwdeclaration.Declaration{Number: kwdeclaration.Number(n)}, err
}

func deltaOf(t *testing.T, from, to int, before, after string) *kwdirectproto.DeclarationDelta {
	t.Helper()
	compressed, err := kwdirectproto.Compress(kwdelta.Encode([]byte(before), []byte(after)))
	if err != nil {
		t.Fatal(err)
	}
	return &kwdirectproto.DeclarationDelta{From: kwdeclaration.Number(from), Number: kwdeclaration.Number(to), Delta: compressed}
}

// TestMergeDeclarationDelta applies deltas to the declaration of a view. A delta to another declaration must leave the view as it
// is, and the entry must ask for the whole declaration next.
func TestMergeDeclarationDelta(t *testing.T) {
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	g.deps.Decoder = numberDecoder{}
	whole, err := kwdirectproto.Compress([]byte("5 {a}{b}"))
	if err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		name       string
		reply      kwdirectproto.View
		want       string
		needsWhole bool
	}{
		{"whole declaration", kwdirectproto.View{Declaration: &kwdirectproto.CompressedDeclaration{Number: 5, Content: whole}}, "5 {a}{b}", false},
		{"delta", kwdirectproto.View{DeclarationDelta: deltaOf(t, 5, 7, "5 {a}{b}", "7 {a}{c}")}, "7 {a}{c}", false},
		{"delta to an older declaration", kwdirectproto.View{DeclarationDelta: deltaOf(t, 5, 8, "5 {a}{b}", "8 {a}{d}")}, "7 {a}{c}", true},
		{"delta to a different text", kwdirectproto.View{DeclarationDelta: deltaOf(t, 7, 8, "7 {a}{x}", "8 {a}{x}{x}")}, "7 {a}{c}", true},
		{"delta to a declaration that cannot be decoded", kwdirectproto.View{DeclarationDelta: deltaOf(t, 7, 8, "7 {a}{c}", "{a}{c}")}, "7 {a}{c}", true},
		{"older delta, again", kwdirectproto.View{DeclarationDelta: deltaOf(t, 5, 6, "5 {a}{b}", "6 {a}{d}")}, "7 {a}{c}", false},
		{"whole declaration afterwards", kwdirectproto.View{Declaration: &kwdirectproto.CompressedDeclaration{Number: 5, Content: whole}}, "7 {a}{c}", false},
	}
	v := emptyView()
	for _, s := range steps {
		next, err := g.mergeView(v, s.reply)
		if (err != nil) != s.needsWhole || g.needsWholeDeclaration != s.needsWhole {
			t.Fatalf("%s: got error %v and a request for the whole declaration %t, want %t", s.name, err, g.needsWholeDeclaration, s.needsWhole)
		}
		if err == nil {
			v = next
		}
		if got := string(v.declarationContent); got != s.want {
			t.Errorf("%s: got declaration %q, want %q", s.name, got, s.want)
		}
	}
}

// TestLoadsByIndex merges the endpoints of two leaders, which number them differently. Loads must go to the endpoints that the
// leader of the reply means.
func TestLoadsByIndex(t *testing.T) {
	g := newTestGateway(t, "127.0.0.1:1", "127.0.0.1:1")
	row := func(id kwid.EndpointID, index kwmembership.RosterIndex) kwmembership.RosterRow {
		return kwmembership.RosterRow{State: kwmembership.Live, Index: index, Announcement: kwmembership.Announcement{ID: id, Address: string(id)}}
	}
	packed := func(indexes ...kwmembership.RosterIndex) kwdirectproto.PackedLoads {
		var loads []kwdirectproto.IndexedLoad
		for _, i := range indexes {
			loads = append(loads, kwdirectproto.IndexedLoad{Index: i, Running: 10 + int(i)})
		}
		return kwdirectproto.PackLoads(loads)
	}
	steps := []struct {
		name  string
		reply kwdirectproto.View
		want  []string
	}{
		{"first leader", kwdirectproto.View{Epoch: 1, Full: true, Endpoints: []kwmembership.RosterRow{row("a", 1), row("b", 2)}, PackedLoads: packed(1, 2)}, []string{"a 11", "b 12"}},
		{"endpoint joins", kwdirectproto.View{Epoch: 1, Endpoints: []kwmembership.RosterRow{row("c", 3)}, PackedLoads: packed(2, 3)}, []string{"b 12", "c 13"}},
		{"next leader, still gathering", kwdirectproto.View{Epoch: 2, Full: true, Gathering: true, Endpoints: []kwmembership.RosterRow{row("b", 1)}, PackedLoads: packed(1, 2)}, []string{"b 11"}},
		{"older leader without packed loads", kwdirectproto.View{Epoch: 3, Full: true, Loads: []kwdirectproto.Load{{Endpoint: "a", Running: 4}}}, []string{"a 4"}},
	}
	v := emptyView()
	for _, s := range steps {
		next, err := g.mergeView(v, s.reply)
		if err != nil {
			t.Fatal(err)
		}
		loads, err := next.othersLoads(s.reply)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, l := range loads {
			got = append(got, fmt.Sprint(l.Endpoint, " ", l.Running))
		}
		if !slices.Equal(got, s.want) {
			t.Errorf("%s: got loads %v, want %v", s.name, got, s.want)
		}
		v = next
	}
	if got := v.indexLoads([]kwdirectproto.Load{{Endpoint: "b", Running: 1}}); len(got) != 0 {
		t.Errorf("loads of endpoints without an index: got %+v, want none", got)
	}
}
