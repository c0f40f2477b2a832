package commands

import (
	"time"

	"knapweedproxy/io/kwcontrol"
)

// adminFlags say how to reach control.
type adminFlags struct {
	Admin   []string      `required:"" placeholder:"URL" help:"Base URLs of control processes' admin addresses."`
	Token   string        `env:"KNAPWEEDPROXY_ADMIN_TOKEN" help:"Admin token."`
	Timeout time.Duration `default:"25s" help:"Time limit of the request."`
}

func (f adminFlags) operator() kwcontrol.AdminClient {
	return kwcontrol.AdminClient{URLs: f.Admin, Token: f.Token, Timeout: f.Timeout}
}

// call sends a request to the leader.
func (f adminFlags) call(method, path string, in, out any) error {
	return f.operator().Call(method, path, in, out)
}
