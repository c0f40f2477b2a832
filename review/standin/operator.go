package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	keyBytes       = 20
	operatorWait   = 4 * time.Second
	operatorRounds = 8
	host           = "ficu95.example"
	callerKey      = "n2ctnfzs989anu6wsjnb"
)

// operator sends manifests to the control processes and reads them back.
type operator struct {
	platform *platform
	client   *http.Client
	rng      *rand.Rand
	tenants  []tenant
	version  int
	next     int
	// layers is the number of layers of the model, 0 if there are no model servers.
	layers int
}

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

type route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	RouteType  string `json:"route_type"`
	TimeoutMS  int    `json:"timeout_ms"`
	SLOMS      int    `json:"slo_ms"`
	Priority   int    `json:"priority"`
	Service    string `json:"service"`
	Attempts   int    `json:"attempts"`
	Public     bool   `json:"public"`
	Sticky     bool   `json:"sticky"`
	Resumable  bool   `json:"resumable"`
	GapSLOMS   int    `json:"gap_slo_ms"`
}

func newOperator(p *platform, tenants int) *operator {
	o := &operator{
		platform: p, rng: rand.New(rand.NewPCG(7, 11)),
		client: &http.Client{Timeout: operatorWait, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for i := range tenants {
		t := tenant{Name: o.word("t", 8), APIKeys: []string{o.word("", keyBytes), o.word("", keyBytes)}, Priority: 1 + i%3}
		if i == 0 {
			t.APIKeys[0] = callerKey
		}
		o.tenants = append(o.tenants, t)
	}
	return o
}

// word returns random letters and digits after a prefix.
func (o *operator) word(prefix string, n int) string {
	const alphabet = "abcdefghijklmnopqrstuvwxyz0123456789"
	b := []byte(prefix)
	for len(b) < n {
		b = append(b, alphabet[o.rng.IntN(len(alphabet))])
	}
	return string(b)
}

// manifest returns the next version: one tenant has got a new second key.
func (o *operator) manifest() (int, []byte) {
	o.version++
	t := &o.tenants[o.rng.IntN(len(o.tenants))]
	t.APIKeys[1] = o.word("", keyBytes)
	routes := []route{
		{
			Name: "alerts", Host: host, PathPrefix: "/alerts/", RouteType: "non_idempotent", TimeoutMS: 1000, SLOMS: 100, Priority: 2,
			Service: "records", Attempts: 1,
		},
		{
			Name: "lookups", Host: host, PathPrefix: "/lookups/", RouteType: "idempotent", TimeoutMS: 1000, SLOMS: 100, Priority: 2,
			Service: "records", Attempts: 2,
		},
	}
	services := []any{map[string]any{"name": "records", "health_path": "/healthz", "max_conns": 120, "protocol": "h1", "tls": false}}
	if o.layers > 0 {
		routes = append(routes, route{
			Name: "notes", Host: host, PathPrefix: "/notes/", RouteType: "streaming", TimeoutMS: 20000, SLOMS: 500, Priority: 1, Service: "drafter",
			Attempts: 2, Sticky: true, Resumable: true, GapSLOMS: 250,
		})
		services = append(services, map[string]any{
			"name": "drafter", "health_path": "/healthz", "max_conns": 1148, "protocol": "h1", "tls": false, "engine": engine(o.layers),
		})
	}
	body, err := json.Marshal(map[string]any{
		"version":  o.version,
		"routes":   routes,
		"services": services,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  o.tenants,
	})
	if err != nil {
		panic(err)
	}
	return o.version, body
}

// send sends a manifest to one control process after the other until one confirms it.
func (o *operator) send(body []byte) (err error) {
	for range operatorRounds {
		address := o.platform.seeds[o.next%len(o.platform.seeds)]
		var resp *http.Response
		resp, err = o.client.Post("http://"+address+"/config/replace", "application/json", bytes.NewReader(body))
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("%s: status %d %.120s", address, resp.StatusCode, text)
		}
		o.next++
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

// firstConfirmation bounds the wait for the first confirmation.
const firstConfirmation = 15 * time.Second

// sendFirst sends the first manifest until it is confirmed.
func (o *operator) sendFirst() error {
	_, body := o.manifest()
	for began := time.Now(); ; {
		err := o.send(body)
		if err == nil {
			o.platform.record.logf("the first manifest, of %d bytes, is confirmed", len(body))
			return nil
		}
		if time.Since(began) > firstConfirmation {
			return fmt.Errorf("the first manifest: %w", err)
		}
	}
}

// sendTo sends a manifest to the control process of one machine.
func (o *operator) sendTo(m *machine, body []byte) error {
	resp, err := o.client.Post("http://"+m.address(controlPort)+"/config/replace", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d %.120s", m.name, resp.StatusCode, text)
	}
	return nil
}

var errNoManifest = errors.New("no control process has returned the manifest")

// read reads the manifest from one control process after the other, and returns its version.
func (o *operator) read() (int, error) {
	err := errNoManifest
	var last []string
	for _, address := range o.platform.seeds {
		resp, getErr := o.client.Get("http://" + address + "/config/get")
		if getErr != nil {
			last = append(last, getErr.Error())
			continue
		}
		body, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK || readErr != nil {
			last = append(last, fmt.Sprintf("%s: status %d %.100s", address, resp.StatusCode, body))
			continue
		}
		var m struct {
			Version int `json:"version"`
		}
		if err := json.Unmarshal(body, &m); err != nil {
			return 0, err
		}
		return m.Version, nil
	}
	return 0, fmt.Errorf("%w: %s", err, strings.Join(last, "; "))
}
