package kwupstream

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
)

const (
	refusalWithoutID = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno"
	successWithoutID = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign"
)

func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nno"
}

// TestRepeatedRefusalAnswersNoOtherRequest guards against an earlier refusal, written once more on a kept connection, that a caller gets
// for a request which the server runs.
func TestRepeatedRefusalAnswersNoOtherRequest(t *testing.T) {
	cases := []struct {
		name string
		// before is written before the answer of the second request on a connection.
		before string
	}{
		{"refusal without ID", refusalWithoutID},
		{"success without ID", successWithoutID},
		{"refusal of the first request", refusal("first")},
		{"two refusals", refusalWithoutID + refusal("first")},
		{"interim answer and refusal", "HTTP/1.1 103 Early Hints\r\n\r\n" + refusalWithoutID},
	}
	for _, c := range cases {
		e := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			for n := 0; ; n++ {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				id := req.Header.Get("Id")
				if n == 1 {
					_, _ = io.WriteString(conn, c.before)
				}
				_, _ = io.WriteString(conn, response(id, "body of "+id))
			}
		})
		p := NewPool()
		for _, id := range []string{"first", "second"} {
			res := exchange(p, e, id)
			if got, want := string(res.Body), "body of "+id; res.Err != nil || res.Response.StatusCode != http.StatusOK || got != want {
				t.Errorf("%s: request %s got %q (%v), want %q", c.name, id, got, res.Err, want)
			}
		}
	}
}

// TestRefusedRequestGetsAnotherConnection guards against a copy of the refusal of a first attempt, which bears the ID of the second attempt
// too.
func TestRefusedRequestGetsAnotherConnection(t *testing.T) {
	e := startEndpoint(t, func(n int, conn net.Conn, r *bufio.Reader) {
		for first := true; ; first = false {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("Id")
			if n == 0 && (first || id == "again") {
				// On its first connection the endpoint repeats the refusal instead of an answer.
				_, _ = io.WriteString(conn, refusal("again"))
				continue
			}
			_, _ = io.WriteString(conn, response(id, "body of "+id))
		}
	})
	p := NewPool()
	if res := exchange(p, e, "again"); res.Err != nil || res.Response.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("first attempt: got %v, want a refusal", res.Err)
	}
	if res := exchange(p, e, "again"); res.Err != nil || string(res.Body) != "body of again" {
		t.Errorf("second attempt: got %q (%v), want its answer", res.Body, res.Err)
	}
}

// TestFirstAnswerMayLackID checks that a fresh connection needs no ID: nothing but the request can have caused the answer.
func TestFirstAnswerMayLackID(t *testing.T) {
	e := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(conn, refusalWithoutID)
		}
	})
	if res := exchange(NewPool(), e, "a"); res.Err != nil || res.Response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v, want the refusal", res.Err)
	}
}

// FuzzForeignAnswers has an endpoint write answers, copies of earlier ones, answers without an ID, interim answers, odd heads and rubbish in any
// order and in pieces of any size. No caller may get an answer that was not made for its request.
func FuzzForeignAnswers(f *testing.F) {
	for seed := range uint64(64) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 5))
		e := startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) { answerOddly(rand.New(rand.NewPCG(seed, 6)), conn, r) })
		c, err := NewPool().Get(t.Context(), e.address(), "r0", true)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetReadDeadline(time.Now().Add(2 * time.Second))
		for n := range 1 + rng.IntN(5) {
			id := fmt.Sprint("r", n)
			r := &Request{ID: kwid.RequestID(id), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {id}}}
			if c.Send(r) != nil {
				return
			}
			resp, _, err := c.Receive(r, idDialect{})
			if err != nil {
				return
			}
			body, err := ReadBody(resp, 1<<10, nil)
			if err != nil {
				return
			}
			if got, want := string(body), "body of "+id; got != want {
				t.Fatalf("seed %d: request %s got %q, want %q", seed, id, got, want)
			}
			if resp.Close || c.singleUse || c.reader.Buffered() > 0 {
				return
			}
			c.Reused = true
		}
	})
}

// answerOddly answers requests, each in full, with foreign bytes before or after any answer; before the first one, these are no refusals.
func answerOddly(rng *rand.Rand, conn net.Conn, r *bufio.Reader) {
	var earlier []string
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		var out strings.Builder
		odd := func(first bool) {
			for range rng.IntN(3) {
				page := oddHeads[rng.IntN(len(oddHeads))]
				kinds := []string{successWithoutID, "HTTP/1.1 103 Early Hints\r\n\r\n", response("foreign", "x")}
				if strings.Contains(page.head, " 200 ") {
					kinds = append(kinds, page.head+"\r\n\r\n"+page.body)
				}
				if !first {
					kinds = append(append(kinds, refusalWithoutID), earlier...)
				}
				out.WriteString(kinds[rng.IntN(len(kinds))])
			}
		}
		odd(n == 0)
		answer := response(id, "body of "+id)
		out.WriteString(answer)
		if rng.IntN(2) == 0 {
			odd(false)
		}
		earlier = append(earlier, answer, refusal(id))
		for data := out.String(); len(data) > 0; {
			piece := data[:min(len(data), 1+rng.IntN(200))]
			if _, err := io.WriteString(conn, piece); err != nil {
				return
			}
			data = data[len(piece):]
		}
	}
}
