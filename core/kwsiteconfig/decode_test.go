package kwsiteconfig

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"knapweedproxy/core/kwcode"
)

func readExample(t testing.TB, name string) Source {
	t.Helper()
	folder := filepath.Join("..", "..", "examples", name)
	src := Source{Base: readFile(t, filepath.Join(folder, "base.toml"))}
	overlays, err := filepath.Glob(filepath.Join(folder, "site-*.toml"))
	if err != nil || len(overlays) == 0 {
		t.Fatalf("no overlays in %s: %v", folder, err)
	}
	for _, path := range overlays {
		src.Overlays = append(src.Overlays, readFile(t, path))
	}
	return src
}

func readFile(t testing.TB, path string) File {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return File{Name: filepath.Base(path), Text: string(text)}
}

// TestExamples checks that the example fleets have the sizes that users stated for their fleets.
func TestExamples(t *testing.T) {
	for _, name := range []string{"bretagne", "ulaanbaatar"} {
		fleet, err := Load(readExample(t, name))
		if err != nil {
			t.Fatal(err)
		}
		zones, servers, records, workspaces := 0, 0, 0, 0
		for _, site := range fleet.Sites {
			zones += len(site.AvailabilityZones)
			workspaces = len(site.Workspaces)
			for _, p := range site.Pools {
				servers += p.Servers
			}
			for _, p := range site.ServicePools {
				records += p.Servers
			}
		}
		if zones != 3 || servers != 30 || records != 3 || workspaces != 10 {
			t.Errorf("%s: got %d zones, %d servers, %d records servers, %d workspaces, want 3, 30, 3, 10", name, zones, servers, records, workspaces)
		}
	}
}

// TestInvalidDeclarations breaks one thing at a time in a valid declaration; the error must name the code, the file,
// the line and the key.
func TestInvalidDeclarations(t *testing.T) {
	tests := []struct {
		name             string
		overlay          bool
		old, replacement string
		code             kwcode.Code
		location         string
	}{
		{"syntax", false, "[[models]]", "[[models]", kwcode.SettingsSyntax, "base.toml:4:"},
		{"unknown key", false, "layers = 48", "layerz = 48", kwcode.SettingsUnknownKey, `base.toml:6: key "models.layerz"`},
		{"wrong unit", false, `request-timeout = "120s"`, `request-timeout = "120 apples"`, kwcode.SettingsBadValue, `base.toml:8: key "models.request-timeout"`},
		{"no unit", false, `request-timeout = "120s"`, `request-timeout = 120`, kwcode.SettingsBadValue, `base.toml:8: key "request-timeout"`},
		{"wrong format", false, "knapweedproxy-fleet-1", "knapweedproxy-fleet-9", kwcode.SettingsBadValue, `base.toml:1: key "format"`},
		{"bad retry policy", false, `retry = "at-most-once"`, `retry = "sometimes"`, kwcode.SettingsBadValue, `key "services[0].calls"`},
		{"overlapping layers", true, "first-layer = 16", "first-layer = 14", kwcode.SettingsLayers, `key "pools[`},
		{"missing layers", true, "last-layer = 15", "last-layer = 13", kwcode.SettingsLayers, `key "pools[`},
		{"unknown model", true, `model = "drafting"`, `model = "poetry"`, kwcode.SettingsReference, `key "pools[0].model"`},
		{"unknown zone", true, `to = "quimper"`, `to = "brest"`, kwcode.SettingsReference, `key "links[0].to"`},
		{"unknown workspace", true, `name = "night-batch"`, `name = "day-batch"`, kwcode.SettingsReference, `key "workspaces[0].name"`},
		{"no site", true, `site = "bretagne"`, `site = ""`, kwcode.SettingsMissing, `key "site"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			src := readExample(t, "bretagne")
			file := &src.Base
			if tt.overlay {
				file = &src.Overlays[0]
			}
			if !strings.Contains(file.Text, tt.old) {
				t.Fatalf("the example does not contain %q", tt.old)
			}
			file.Text = strings.Replace(file.Text, tt.old, tt.replacement, 1)
			_, err := Load(src)
			if !kwcode.Is(err, tt.code) || !strings.Contains(err.Error(), tt.location) {
				t.Errorf("got %v, want code %d at %s", err, tt.code, tt.location)
			}
		})
	}
}

// TestCorruptedFiles corrupts valid files at random places. Load must return a fleet or a coded settings error, and not
// panic.
func TestCorruptedFiles(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 12))
	rejected := 0
	for range 400 {
		src := readExample(t, "bretagne")
		file := &src.Base
		if rng.IntN(2) == 0 {
			file = &src.Overlays[0]
		}
		file.Text = corrupt(rng, file.Text)
		_, err := Load(src)
		if err == nil {
			continue
		}
		rejected++
		var coded *kwcode.Error
		if !errors.As(err, &coded) || coded.Code/1000 != 4 {
			t.Errorf("got %v, want a coded settings error", err)
		}
	}
	if rejected < 200 {
		t.Errorf("got %d of 400 rejected, want at least 200", rejected)
	}
}

// corrupt replaces, removes or inserts bytes at up to three random places.
func corrupt(rng *rand.Rand, text string) string {
	data := []byte(text)
	for range 1 + rng.IntN(3) {
		offset := rng.IntN(len(data))
		switch rng.IntN(3) {
		case 0:
			data[offset] = byte(rng.IntN(256))
		case 1:
			data = append(data[:offset:offset], data[min(len(data), offset+1+rng.IntN(20)):]...)
		case 2:
			data = append(data[:offset:offset], append([]byte{byte(rng.IntN(128))}, data[offset:]...)...)
		}
	}
	return string(data)
}

func FuzzLoad(f *testing.F) {
	src := readExample(f, "bretagne")
	f.Add(src.Base.Text, src.Overlays[0].Text)
	f.Add("", "")
	f.Fuzz(func(t *testing.T, base, overlay string) {
		_, err := Load(Source{Base: File{Name: "b", Text: base}, Overlays: []File{{Name: "o", Text: overlay}}})
		var coded *kwcode.Error
		if err != nil && !errors.As(err, &coded) {
			t.Errorf("got %v, want a coded error", err)
		}
	})
}

func TestFindRuleMatchesSegments(t *testing.T) {
	s := Service{Calls: []CallRule{{Method: "GET", Path: "/runs/*", Retry: Idempotent}, {Method: "POST", Path: "/runs", Retry: AtMostOnce}}}
	for _, tt := range []struct {
		method, path string
		want         bool
	}{
		{"GET", "/runs/d20", true},
		{"GET", "/runs", false},
		{"GET", "/runs/d20/x", false},
		{"POST", "/runs", true},
		{"DELETE", "/runs", false},
	} {
		if _, got := s.FindRule(tt.method, tt.path); got != tt.want {
			t.Errorf("%s %s: got %t, want %t", tt.method, tt.path, got, tt.want)
		}
	}
}
