package kwsiteconfig

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"knapweedproxy/core/kwcode"
)

// File is the name and content of one settings file.
type File struct {
	Name string `cbor:"1,keyasint"`
	Text string `cbor:"2,keyasint"`
}

// Source is a whole fleet declaration as files.
type Source struct {
	Base     File   `cbor:"1,keyasint"`
	Overlays []File `cbor:"2,keyasint"`
}

// Load decodes, merges and checks a declaration; each error names the file, the line and the key.
func Load(src Source) (*Fleet, error) {
	var base Base
	if err := Decode(src.Base, &base); err != nil {
		return nil, err
	}
	if err := checkBase(src.Base, &base); err != nil {
		return nil, err
	}
	fleet := &Fleet{Name: base.Name, Models: base.Models, Services: base.Services}
	for _, file := range src.Overlays {
		site, err := loadOverlay(file, &base)
		if err != nil {
			return nil, err
		}
		if _, taken := fleet.Site(site.Site); taken {
			return nil, fault(file, kwcode.SettingsDuplicate, "site", "site %q has two overlays", site.Site)
		}
		fleet.Sites = append(fleet.Sites, site)
	}
	if len(fleet.Sites) == 0 {
		return nil, fault(src.Base, kwcode.SettingsMissing, "", "a fleet needs at least one overlay")
	}
	return fleet, nil
}

func loadOverlay(file File, base *Base) (SiteFleet, error) {
	var overlay Overlay
	if err := Decode(file, &overlay); err != nil {
		return SiteFleet{}, err
	}
	if err := checkOverlay(file, base, &overlay); err != nil {
		return SiteFleet{}, err
	}
	return merge(base, &overlay), nil
}

func merge(base *Base, overlay *Overlay) SiteFleet {
	site := SiteFleet{
		Site:              overlay.Site,
		AvailabilityZones: overlay.AvailabilityZones,
		Links:             overlay.Links,
		Pools:             overlay.Pools,
		ServicePools:      overlay.ServicePools,
		Workspaces:        append([]Workspace(nil), base.Workspaces...),
	}
	for _, over := range overlay.Workspaces {
		for i := range site.Workspaces {
			if site.Workspaces[i].Name == over.Name {
				override(&site.Workspaces[i], over)
			}
		}
	}
	return site
}

func override(w *Workspace, over WorkspaceOverride) {
	if over.Weight != 0 {
		w.Weight = over.Weight
	}
	if over.MaxRequestsInFlight != 0 {
		w.MaxRequestsInFlight = over.MaxRequestsInFlight
	}
}

// Decode parses one TOML file strictly into out, a pointer to a struct.
func Decode(file File, out any) error {
	dec := toml.NewDecoder(bytes.NewReader([]byte(file.Text)))
	dec.DisallowUnknownFields()
	err := dec.Decode(out)
	if err == nil {
		return nil
	}
	return decodeFault(file, err)
}

func decodeFault(file File, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		row, _ := strict.Errors[0].Position()
		key := strings.Join(strict.Errors[0].Key(), ".")
		return kwcode.New(kwcode.SettingsUnknownKey, "%s:%d: key %q is not known", file.Name, row, key)
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		row, _ := bad.Position()
		key := strings.Join(bad.Key(), ".")
		if key == "" {
			key = keyAt(file, row)
		}
		code := kwcode.SettingsSyntax
		if key != "" {
			code = kwcode.SettingsBadValue
		}
		return kwcode.New(code, "%s:%d: key %q: %s", file.Name, row, key, bad.Error())
	}
	var span *spanError
	if errors.As(err, &span) {
		row, key := findValue(file.Text, span.text)
		return kwcode.New(kwcode.SettingsBadValue, "%s:%d: key %q: %v", file.Name, row, key, err)
	}
	return kwcode.New(kwcode.SettingsSyntax, "%s:1: %v", file.Name, err)
}

// findValue returns the line and the key of a value that is written without quotes.
func findValue(text, value string) (row int, key string) {
	pattern := regexp.MustCompile(`([A-Za-z0-9_-]+)\s*=\s*` + regexp.QuoteMeta(value) + `\b`)
	for i, line := range strings.Split(text, "\n") {
		if m := pattern.FindStringSubmatch(line); m != nil {
			return i + 1, m[1]
		}
	}
	return 1, ""
}

var keyPattern = regexp.MustCompile(`^\s*([A-Za-z0-9_-]+)\s*=\s*\S`)

func keyAt(file File, row int) string {
	lines := strings.Split(file.Text, "\n")
	if row < 1 || row > len(lines) {
		return ""
	}
	m := keyPattern.FindStringSubmatch(lines[row-1])
	if m == nil {
		return ""
	}
	return m[1]
}

// fault builds an error for a key written as "table[index].key", "table[index]" or "key".
func fault(file File, code kwcode.Code, key, format string, args ...any) error {
	detail := fmt.Sprintf(format, args...)
	return kwcode.New(code, "%s:%d: key %q: %s", file.Name, LineOf(file.Text, key), key, detail)
}

var indexed = regexp.MustCompile(`^([a-z0-9-]+)\[(\d+)\](?:\.(.+))?$`)

// LineOf finds the line of a key written as "key", "table.key" or "tables[index].key"; the line of its table stands in for a key that is absent.
func LineOf(text, key string) int {
	lines := strings.Split(text, "\n")
	m := indexed.FindStringSubmatch(key)
	if table, name, ok := strings.Cut(key, "."); m == nil && ok {
		start := findLine(lines, "["+table+"]")
		return max(1, start, findKey(lines, start, name))
	}
	if m == nil {
		return max(1, findKey(lines, 0, key))
	}
	var index int
	_, _ = fmt.Sscanf(m[2], "%d", &index)
	start := findTable(lines, m[1], index)
	if row := findKey(lines, start, m[3]); row > 0 {
		return row
	}
	return max(1, start)
}

func findLine(lines []string, text string) int {
	for i, line := range lines {
		if strings.TrimSpace(line) == text {
			return i + 1
		}
	}
	return 0
}

func findTable(lines []string, table string, index int) int {
	seen := 0
	for i, line := range lines {
		if strings.HasPrefix(strings.TrimSpace(line), "[["+table+"]]") {
			if seen == index {
				return i + 1
			}
			seen++
		}
	}
	return 0
}

func findKey(lines []string, start int, key string) int {
	if key == "" {
		return 0
	}
	for i := start; i < len(lines); i++ {
		m := keyPattern.FindStringSubmatch(lines[i])
		if m != nil && m[1] == key {
			return i + 1
		}
		if strings.HasPrefix(strings.TrimSpace(lines[i]), "[") {
			return 0
		}
	}
	return 0
}
