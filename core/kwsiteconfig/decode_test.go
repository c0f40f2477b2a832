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

func example(t testing.TB, name string) Source {
	t.Helper()
	folder := filepath.Join("..", "..", "examples", name)
	src := Source{Base: read(t, filepath.Join(folder, "base.toml"))}
	overlays, err := filepath.Glob(filepath.Join(folder, "site-*.toml"))
	if err != nil || len(overlays) == 0 {
		t.Fatalf("no overlays in %s: %v", folder, err)
	}
	for _, path := range overlays {
		src.Overlays = append(src.Overlays, read(t, path))
	}
	return src
}

func read(t testing.TB, path string) File {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return File{Name: filepath.Base(path), Text: string(text)}
}

// TestExamples requires the sizes that the users stated for today.
func TestExamples(t *testing.T) {
	for _, name := range []string{"bretagne", "ulaanbaatar"} {
		fleet, err := Load(example(t, name))
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

// TestFaults changes one thing in a good declaration: the error names the code, the file, the line and the key.
func TestFaults(t *testing.T) {
	tests := []struct {
		name     string
		overlay  bool
		old, now string
		code     kwcode.Code
		where    string
	}{
		{"syntax", false, "[[models]]", "[[models]", kwcode.SettingsSyntax, "base.toml:4:"},
		{"unknown key", false, "layers = 48", "layerz = 48", kwcode.SettingsUnknownKey, `base.toml:6: key "models.layerz"`},
		{"wrong unit", false, `request-timeout = "120s"`, `request-timeout = "120 apples"`, kwcode.SettingsBadValue, `base.toml:8: key "models.request-timeout"`},
		{"no unit", false, `request-timeout = "120s"`, `request-timeout = 120`, kwcode.SettingsBadValue, `base.toml:8: key "request-timeout"`},
		{"wrong format", false, "knapweedproxy-fleet-1", "knapweedproxy-fleet-9", kwcode.SettingsBadValue, `base.toml:1: key "format"`},
		{"bad retry rule", false, `retry = "at-most-once"`, `retry = "sometimes"`, kwcode.SettingsBadValue, `key "services[0].calls"`},
		{"overlapping layers", true, "first-layer = 16", "first-layer = 14", kwcode.SettingsLayers, `key "pools[`},
		{"missing layers", true, "last-layer = 15", "last-layer = 13", kwcode.SettingsLayers, `key "pools[`},
		{"unknown model", true, `model = "drafting"`, `model = "poetry"`, kwcode.SettingsReference, `key "pools[0].model"`},
		{"unknown zone", true, `to = "quimper"`, `to = "brest"`, kwcode.SettingsReference, `key "links[0].to"`},
		{"unknown workspace", true, `name = "night-batch"`, `name = "day-batch"`, kwcode.SettingsReference, `key "workspaces[0].name"`},
		{"no site", true, `site = "bretagne"`, `site = ""`, kwcode.SettingsMissing, `key "site"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			src := example(t, "bretagne")
			file := &src.Base
			if tt.overlay {
				file = &src.Overlays[0]
			}
			if !strings.Contains(file.Text, tt.old) {
				t.Fatalf("the example holds no %q", tt.old)
			}
			file.Text = strings.Replace(file.Text, tt.old, tt.now, 1)
			_, err := Load(src)
			if !kwcode.Is(err, tt.code) || !strings.Contains(err.Error(), tt.where) {
				t.Errorf("got %v, want code %d at %s", err, tt.code, tt.where)
			}
		})
	}
}

// TestMangled damages good files at random places: each result is a numbered error or a good fleet, never a crash.
func TestMangled(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 12))
	refused := 0
	for range 400 {
		src := example(t, "bretagne")
		file := &src.Base
		if rng.IntN(2) == 0 {
			file = &src.Overlays[0]
		}
		file.Text = mangle(rng, file.Text)
		_, err := Load(src)
		if err == nil {
			continue
		}
		refused++
		var coded *kwcode.Error
		if !errors.As(err, &coded) || coded.Code/1000 != 4 {
			t.Errorf("got %v, want a numbered settings error", err)
		}
	}
	if refused < 200 {
		t.Errorf("got %d of 400 refused, want most", refused)
	}
}

func mangle(rng *rand.Rand, text string) string {
	data := []byte(text)
	for range 1 + rng.IntN(3) {
		at := rng.IntN(len(data))
		switch rng.IntN(3) {
		case 0:
			data[at] = byte(rng.IntN(256))
		case 1:
			data = append(data[:at:at], data[min(len(data), at+1+rng.IntN(20)):]...)
		case 2:
			data = append(data[:at:at], append([]byte{byte(rng.IntN(128))}, data[at:]...)...)
		}
	}
	return string(data)
}

func FuzzLoad(f *testing.F) {
	src := example(f, "bretagne")
	f.Add(src.Base.Text, src.Overlays[0].Text)
	f.Add("", "")
	f.Fuzz(func(t *testing.T, base, overlay string) {
		_, err := Load(Source{Base: File{Name: "b", Text: base}, Overlays: []File{{Name: "o", Text: overlay}}})
		var coded *kwcode.Error
		if err != nil && !errors.As(err, &coded) {
			t.Errorf("got %v, want a numbered error", err)
		}
	})
}

func TestRuleMatchesSegments(t *testing.T) {
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
