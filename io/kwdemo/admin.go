package kwdemo

import (
	"net/http"
	"time"

	"knapweedproxy/io/kwcontrol"
)

const adminTimeout = 10 * time.Second

func (f *Fleet) adminClient() kwcontrol.AdminClient {
	return kwcontrol.AdminClient{URLs: f.adminURLs, Timeout: adminTimeout}
}

// CallAdmin posts an admin request to the leader among the control processes.
func (f *Fleet) CallAdmin(path string, in, out any) error {
	return f.adminClient().Call(http.MethodPost, path, in, out)
}

// AdminURLs returns the base URLs of the admin API of all control processes.
func (f *Fleet) AdminURLs() []string { return f.adminURLs }
