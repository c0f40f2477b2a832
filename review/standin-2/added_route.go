package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// addedRequests is the number of requests on each of the two routes, once the second one is in force.
	addedRequests = 60
	addedPause    = 150 * time.Millisecond
	// longEvents events every longEventPause make a stream of three seconds.
	longEvents     = 30
	longEventPause = 100 * time.Millisecond
	// streamGap is how long a client waits for an event: the longest of two seconds, four times the objective and eight times the pause.
	streamGap = 2 * time.Second
)

// addedRoute has a manifest add a streaming route to a plain service, as the manifest of the users' page has one. Its streams last three
// seconds, with an event every 100 ms.
func addedRoute(f *fleet, trouble bool) (string, error) {
	var servers []*server
	defer func() {
		for _, s := range servers {
			s.crash()
		}
	}()
	for i := range 3 {
		s, err := startServer(f, serverConfig{
			id: fmt.Sprintf("i-%d", i+1), service: "records", zone: f.machines[i].zone, address: fmt.Sprintf("127.61.%d.20:0", i+1),
			work: 15 * time.Millisecond, fault: longStream,
		})
		if err != nil {
			return "", err
		}
		servers = append(servers, s)
	}
	routes := []object{route("alerts", "/alerts/", "non_idempotent", "records", 100, 1000, 1)}
	services := []object{plainService("records")}
	if err := replaceManifest(f, manifest(1, routes, services), 20*time.Second); err != nil {
		return "", err
	}
	if err := awaitReady(f, 10*time.Second); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	kinds := []string{"alerts"}
	if trouble {
		added := route("notes", "/notes/", "streaming", "records", 500, 20000, 2)
		added["resumable"], added["sticky"], added["gap_slo_ms"] = true, true, 200
		if err := replaceManifest(f, manifest(2, append(routes, added), services), 10*time.Second); err != nil {
			return "", err
		}
		kinds = append(kinds, "notes")
	}
	// A manifest is in force everywhere config_apply_ms after its confirmation.
	time.Sleep(4 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	served := make(map[string]int)
	for i := range addedRequests {
		for k, kind := range kinds {
			clients.Go(func() {
				id := fmt.Sprintf("%016x", 0x4000+2*i+k)
				a := sendStream(f, f.machines[i%len(f.machines)], id, "/"+kind+"/2f")
				if a.err == nil && a.status == http.StatusOK {
					mu.Lock()
					served[kind]++
					mu.Unlock()
				}
			})
		}
		time.Sleep(addedPause)
	}
	clients.Wait()
	f.record.printf("served of %d each: %v", addedRequests, served)
	if served["alerts"] < addedRequests*9/10 {
		return "", fmt.Errorf("only %d of %d requests on the first route were served", served["alerts"], addedRequests)
	}
	if trouble && served["notes"]*4 < served["alerts"] {
		return fmt.Sprintf("CONFIG: on the route that was added later %d of %d requests were served, on the first one %d", served["notes"], addedRequests, served["alerts"]), nil
	}
	return "", nil
}

// longStream answers the requests of a streaming route with events.
func longStream(s *server, w http.ResponseWriter, r *http.Request, _ int) bool {
	if !strings.HasPrefix(r.URL.Path, "/notes/") {
		return false
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= longEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return true
		}
		if http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
			return true
		}
		time.Sleep(longEventPause)
	}
	return true
}

// sendStream sends a request whose client leaves after a gap of streamGap, also before the first byte.
func sendStream(f *fleet, m *machine, id, path string) answer {
	gap := time.AfterFunc(time.Hour, func() {})
	defer gap.Stop()
	return sendWith(f, m, id, path, 20*time.Second, nil, func(cancel func()) { gap = time.AfterFunc(streamGap, cancel) }, func(body io.Reader) (string, error) {
		var out strings.Builder
		buf := make([]byte, 4096)
		for {
			n, err := body.Read(buf)
			gap.Reset(streamGap)
			out.Write(buf[:n])
			if err == io.EOF {
				return out.String(), nil
			}
			if err != nil {
				return out.String(), err
			}
		}
	})
}
