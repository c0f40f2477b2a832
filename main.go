// Command knapweedproxy routes language-model pipelines and service calls over mixed accelerators.
package main

import (
	"os"

	"knapweedproxy/commands"
)

func main() {
	os.Exit(commands.Main(os.Args[1:], os.Stdout, os.Stderr))
}
