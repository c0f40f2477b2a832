package kwupstream

import (
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"

	"knapweedproxy/core/kwcode"
)

// CheckResponse returns an error unless the status and the headers of a response that a client of the library has read can be passed on. The
// library's reader takes any status of three characters that is a number, and names with blanks, which then stand for no header: a length
// before whose colon is a blank frames nothing.
func CheckResponse(resp *http.Response) error {
	if resp.StatusCode < 100 || resp.StatusCode > 599 {
		return oddHead("status %d", resp.StatusCode)
	}
	for name, values := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return oddHead("the name %.100q of a header", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return oddHead("the value of header %s", name)
			}
		}
	}
	return nil
}

// oddHead is the error of a head that no sound endpoint sends.
func oddHead(format string, args ...any) error {
	return kwcode.New(kwcode.EngineFailed, "malformed head of a response: "+format, args...)
}

// checkHead returns an error unless a head, from its status line to the blank line, is well formed and states at most once how its body is
// framed (RFC 9112). Folded lines are refused, since they hide a name from the reader before or behind this one; so are chunks in HTTP/1.0, which
// has none.
func checkHead(head []byte) error {
	status, fields, _ := bytes.Cut(head, []byte("\n"))
	if !validStatusLine(trimCR(status)) {
		return oddHead("status line %.100q", status)
	}
	lengths, encodings := 0, 0
	for len(fields) > 0 {
		var line []byte
		line, fields, _ = bytes.Cut(fields, []byte("\n"))
		if line = trimCR(line); len(line) == 0 {
			break
		}
		name, value, ok := strings.Cut(string(line), ":")
		if !ok || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return oddHead("line %.100q", line)
		}
		switch http.CanonicalHeaderKey(name) {
		case "Content-Length":
			lengths++
		case "Transfer-Encoding":
			encodings++
		}
	}
	if lengths+encodings > 1 {
		return oddHead("%d lengths and %d transfer encodings", lengths, encodings)
	}
	if encodings > 0 && bytes.HasPrefix(status, []byte("HTTP/1.0")) {
		return oddHead("a transfer encoding in HTTP/1.0")
	}
	return nil
}

func trimCR(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r")) }

// validStatusLine reports whether a line is the version HTTP/1.0 or 1.1, a status from 100 to 599 and, if any, a reason.
func validStatusLine(line []byte) bool {
	version, rest, _ := strings.Cut(string(line), " ")
	status, reason, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.0" && version != "HTTP/1.1" || len(status) != 3 || !httpguts.ValidHeaderFieldValue(reason) {
		return false
	}
	for _, digit := range status {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return status[0] >= '1' && status[0] <= '5'
}
