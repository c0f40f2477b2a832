package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator sends manifests to the control processes, as the pages say: to the next one after a failure, unchanged, until one acknowledges.
type operator struct {
	controls []string
	record   *record
}

// callTimeout is how long a caller of control waits for a response.
const callTimeout = time.Second

// replace sends a manifest until it is acknowledged or refused, for at most the given time. It returns when the acknowledgement came.
func (o *operator) replace(name, manifest string, patience time.Duration) (time.Time, error) {
	end := time.Now().Add(patience)
	var last error
	for i := 0; time.Now().Before(end); i++ {
		status, err := post("http://"+o.controls[i%len(o.controls)]+"/config/replace", []byte(manifest))
		switch {
		case err == nil && status == http.StatusOK:
			o.record.add("operator: %s acknowledged", name)
			return time.Now(), nil
		case err == nil && status >= 400 && status < 500:
			return time.Time{}, fmt.Errorf("%s refused with %d", name, status)
		}
		last = fmt.Errorf("%s: status %d, %v", name, status, err)
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, last
}

// post makes a call to control and returns the status of the response.
func post(url string, body []byte) (int, error) {
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}
