package kwdemo

import (
	"net/http"
	"time"

	"knapweedproxy/io/kwcontrol"
)

const adminTimeout = 10 * time.Second

func (f *Fleet) operator() kwcontrol.AdminClient {
	return kwcontrol.AdminClient{URLs: f.admins, Timeout: adminTimeout}
}

// Admin sends an operator's request to the leading control process.
func (f *Fleet) Admin(path string, in, out any) error {
	return f.operator().Call(http.MethodPost, path, in, out)
}

// AdminURLs returns the base URLs for operators.
func (f *Fleet) AdminURLs() []string { return f.admins }
