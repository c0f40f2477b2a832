package commands

import (
	"time"

	"knapweedproxy/io/kwcontrol"
)

// adminFlags are the flags of commands that call the admin API of the control processes.
type adminFlags struct {
	Admin   []string      `required:"" placeholder:"URL" help:"Base URLs of the control processes' admin API."`
	Token   string        `env:"KNAPWEEDPROXY_ADMIN_TOKEN" help:"Admin token."`
	Timeout time.Duration `default:"25s" help:"Time limit of the request."`
}

func (f adminFlags) adminClient() kwcontrol.AdminClient {
	return kwcontrol.AdminClient{URLs: f.Admin, Token: f.Token, Timeout: f.Timeout}
}

// call sends an admin request to the leader of the control processes and decodes the response into out.
func (f adminFlags) call(method, path string, in, out any) error {
	return f.adminClient().Call(method, path, in, out)
}
