package kwdemo

import (
	"net/http"
	"time"

	"knapweedproxy/io/kwcontrol"
)

const adminTimeout = 10 * time.Second

func (f *Fleet) operator() kwcontrol.Operator {
	return kwcontrol.Operator{URLs: f.admins, Timeout: adminTimeout}
}

// CallAdmin sends an operator's request to the leading control process.
func (f *Fleet) CallAdmin(path string, in, out any) error {
	return f.operator().Call(http.MethodPost, path, in, out)
}

// AdminURLs returns the base URLs for operators.
func (f *Fleet) AdminURLs() []string { return f.admins }
