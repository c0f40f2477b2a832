package kwguard

import (
	"encoding/json"
	"fmt"
	"net/http"

	"knapweedproxy/core/kwcode"
)

// refusalBody is the JSON body of a refusal; entries answer their own rejections alike.
type refusalBody struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail"`
}

// refusal returns the answer to a request that no handler gets to see. It closes the connection.
func refusal(err *kwcode.Error) []byte {
	info := kwcode.Describe(err.Code)
	// A struct of strings and numbers can always be encoded.
	body, _ := json.Marshal(refusalBody{Code: int(err.Code), Name: info.Name, Outcome: string(info.Outcome), Detail: err.Detail})
	retryAfter := ""
	if err.RetryAfter > 0 {
		retryAfter = fmt.Sprintf("Retry-After: %d\r\n", int(err.RetryAfter.Seconds()))
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n%s\r\n%s",
		info.Status, http.StatusText(info.Status), len(body), retryAfter, body)
}
