// Command knapweedproxyd runs one entry or control process on the users' platform. It leaves out the demonstration, the
// load tool and the plots of the command knapweedproxy.
package main

import (
	"os"

	"knapweedproxy/platform"
)

func main() {
	os.Exit(kwplatform.Main(os.Args[1:], os.Stderr))
}
