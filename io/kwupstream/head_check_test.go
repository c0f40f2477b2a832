package kwupstream

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"knapweedproxy/core/kwid"
)

// oddHeads are heads that no sound endpoint sends, each with the bytes that follow it.
var oddHeads = []struct{ name, head, body string }{
	{"status 000", "HTTP/1.1 000 Trouble\r\nId: r\r\nContent-Length: 2", "ok"},
	{"status 001", "HTTP/1.1 001 Trouble\r\nId: r\r\nContent-Length: 2", "ok"},
	{"status 099", "HTTP/1.1 099 Trouble\r\nId: r\r\nContent-Length: 2", "ok"},
	{"status +20", "HTTP/1.1 +20 Trouble\r\nId: r\r\nContent-Length: 2", "ok"},
	{"status 600", "HTTP/1.1 600 Trouble\r\nId: r\r\nContent-Length: 2", "ok"},
	{"status 999", "HTTP/1.1 999 Trouble\r\nId: r\r\nContent-Length: 2", "ok"},
	{"status of two digits", "HTTP/1.1 20 Trouble\r\nId: r\r\nContent-Length: 2", "ok"},
	{"status of four digits", "HTTP/1.1 2000 Trouble\r\nId: r\r\nContent-Length: 2", "ok"},
	{"control byte in the reason", "HTTP/1.1 200 O\x01K\r\nId: r\r\nContent-Length: 2", "ok"},
	{"version 2.0", "HTTP/2.0 200 OK\r\nId: r\r\nContent-Length: 2", "ok"},
	{"version 1.2", "HTTP/1.2 200 OK\r\nId: r\r\nContent-Length: 2", "ok"},
	{"blank in a name", "HTTP/1.1 200 OK\r\nId: r\r\nX Y: z\r\nContent-Length: 2", "ok"},
	{"blank before a colon", "HTTP/1.1 200 OK\r\nId: r\r\nX-Y : z\r\nContent-Length: 2", "ok"},
	{"tab before a colon", "HTTP/1.1 200 OK\r\nId: r\r\nX-Y\t: z\r\nContent-Length: 2", "ok"},
	{"length with a blank before its colon", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length : 2", "ok and more"},
	{"length with a blank in front", "HTTP/1.1 200 OK\r\nId: r\r\n Content-Length: 2", "ok and more"},
	{"chunks with a blank before their colon", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding : chunked", "2\r\nok\r\n0\r\n\r\n"},
	{"ID with a blank before its colon", "HTTP/1.1 503 Busy\r\nId : other\r\nContent-Length: 2", "no"},
	{"NUL in a name", "HTTP/1.1 200 OK\r\nId: r\r\nX\x00Y: z\r\nContent-Length: 2", "ok"},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nId: r\r\nX\x01Y: z\r\nContent-Length: 2", "ok"},
	{"0xff in a name", "HTTP/1.1 200 OK\r\nId: r\r\nX\xffY: z\r\nContent-Length: 2", "ok"},
	{"control byte in a value", "HTTP/1.1 200 OK\r\nId: r\r\nX-Y: a\x01b\r\nContent-Length: 2", "ok"},
	{"CR in a value", "HTTP/1.1 200 OK\r\nId: r\r\nX-Y: a\rb\r\nContent-Length: 2", "ok"},
	{"folded line", "HTTP/1.1 200 OK\r\nId: r\r\nX-Y: a\r\n b\r\nContent-Length: 2", "ok"},
	{"line without a colon", "HTTP/1.1 200 OK\r\nId: r\r\nnothing\r\nContent-Length: 2", "ok"},
	{"empty name", "HTTP/1.1 200 OK\r\nId: r\r\n: z\r\nContent-Length: 2", "ok"},
	{"length and chunks", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\nTransfer-Encoding: chunked", "2\r\nok\r\n0\r\n\r\n"},
	{"two equal lengths", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\ncontent-length: 2", "ok"},
	{"two lengths", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\nContent-Length: 1", "ok"},
	{"length with a sign", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: +2", "ok"},
	{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nId: r\r\nTransfer-Encoding: chunked", "2\r\nok\r\n0\r\n\r\n"},
	{"another encoding", "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: gzip, chunked", "2\r\nok\r\n0\r\n\r\n"},
}

// TestOddHeadsAreNoAnswers guards against an answer of a server in trouble that callers got with its odd status or line, or with a body that is
// not the server's, since the line that frames it was not read as such.
func TestOddHeadsAreNoAnswers(t *testing.T) {
	for _, c := range oddHeads {
		for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			conn, _ := newRecordedConn([]byte(before + c.head + "\r\n\r\n" + c.body))
			r := &Request{ID: kwid.RequestID("r"), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}
			if resp, _, err := conn.Receive(r, idDialect{}); err == nil {
				body, err := io.ReadAll(resp.Body)
				t.Errorf("%s: got status %d with %q (%v), want an error", c.name, resp.StatusCode, body, err)
			}
		}
	}
}

// TestSoundHeads checks heads that are unusual and allowed.
func TestSoundHeads(t *testing.T) {
	for name, head := range map[string]string{
		"no reason":               "HTTP/1.1 200\r\nId: r\r\nContent-Length: 2\r\n\r\nok",
		"lines without CR":        "HTTP/1.1 200 OK\nId: r\nContent-Length: 2\n\nok",
		"HTTP/1.0":                "HTTP/1.0 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok",
		"blanks around values":    "HTTP/1.1 200 OK\r\nId:   r  \r\nContent-Length:\t2\r\n\r\nok",
		"empty value":             "HTTP/1.1 200 OK\r\nId: r\r\nX-Y:\r\nContent-Length: 2\r\n\r\nok",
		"bytes beyond ASCII":      "HTTP/1.1 200 Très bien\r\nId: r\r\nX-Y: \xe9\r\nContent-Length: 2\r\n\r\nok",
		"after an interim answer": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 2\r\n\r\nok",
		"large":                   "HTTP/1.1 200 OK\r\nId: r\r\nX-Y: " + strings.Repeat("x", 3*usualHeadBytes) + "\r\nContent-Length: 2\r\n\r\nok",
		"chunks":                  "HTTP/1.1 200 OK\r\nId: r\r\ntransfer-encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\nX-Trailer: 1\r\n\r\n",
	} {
		conn, _ := newRecordedConn([]byte(head + "surplus"))
		resp, _, err := conn.Receive(newRequest("r"), idDialect{})
		if err != nil {
			t.Errorf("%s: got %v, want an answer", name, err)
			continue
		}
		if body, err := io.ReadAll(resp.Body); string(body) != "ok" || err != nil && !errors.Is(err, io.EOF) {
			t.Errorf("%s: got %q (%v), want its body", name, body, err)
		}
	}
}

// TestCheckResponse checks what clients of the library pass on.
func TestCheckResponse(t *testing.T) {
	sound := http.Header{"X-Y": {"a b"}}
	for _, c := range []struct {
		status int
		header http.Header
		sound  bool
	}{
		{200, sound, true},
		{599, sound, true},
		{0, sound, false},
		{20, sound, false},
		{600, sound, false},
		{200, http.Header{"X Y": {"z"}}, false},
		{200, http.Header{"Content-Length ": {"2"}}, false},
		{200, http.Header{"X-Y": {"a\x01"}}, false},
	} {
		if err := CheckResponse(&http.Response{StatusCode: c.status, Header: c.header}); (err == nil) != c.sound {
			t.Errorf("status %d, %v: got %v, want sound %v", c.status, c.header, err, c.sound)
		}
	}
}

// TestHeadOfStreamIsWhole checks that a response which can have no body is no stream that is cut before its first event.
func TestHeadOfStreamIsWhole(t *testing.T) {
	conn, _ := newRecordedConn([]byte("HTTP/1.1 200 OK\r\nId: r\r\nContent-Type: text/event-stream\r\n\r\n"))
	resp, _, err := conn.Receive(&Request{ID: "r", Method: http.MethodHead, Header: http.Header{}}, idDialect{})
	if err != nil {
		t.Fatal(err)
	}
	if body, err := ReadBody(resp, 1, nil); len(body) != 0 || err != nil {
		t.Errorf("got %q (%v), want no body and no error", body, err)
	}
}
