package commands

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"knapweedproxy/core/kwcode"
)

// Exit codes of the program; docs/operators/command-line.md lists them.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitSettings    = 3
	ExitRefused     = 4
	ExitWrongAnswer = 5
	ExitUnreachable = 6
)

// Result codes are grouped in blocks of 1000.
const (
	blockSize     = 1000
	blockSettings = 4
	blockControl  = 5
	blockWire     = 6
)

// root is the command line with all its commands.
type root struct {
	Demo     demoCmd     `cmd:"" help:"Run a small, complete fleet in this process and check its answers."`
	Entry    entryCmd    `cmd:"" help:"Run an entry, which serves the requests of callers."`
	Control  controlCmd  `cmd:"" help:"Run a control process, which manages configuration, membership and the idempotency journal."`
	Agent    agentCmd    `cmd:"" help:"Run the agent beside an endpoint."`
	StandIn  standInCmd  `cmd:"" help:"Run a stand-in for a model engine or a records service."`
	Config   configCmd   `cmd:"" help:"Check, compare, apply and show the fleet declaration."`
	Keys     keysCmd     `cmd:"" help:"Create the fleet's certificate authority and the keys of its processes."`
	Status   statusCmd   `cmd:"" help:"Show the state of the fleet."`
	Drain    drainCmd    `cmd:"" help:"Drain an endpoint gracefully, or put it back into service."`
	Move     moveCmd     `cmd:"" help:"Move the writes of a workspace to another site while it serves traffic."`
	Journal  journalCmd  `cmd:"" help:"List, show and settle the calls that must run at most once."`
	Load     loadCmd     `cmd:"" help:"Measure throughput against its bound, the recovery from losses, and the promises under load."`
	Capacity capacityCmd `cmd:"" help:"Print the capacity model at the target size, or measure its slopes."`
	Timeline timelineCmd `cmd:"" help:"Merge the events of all processes into one time line."`
	Explain  explainCmd  `cmd:"" help:"Show the time line of one request from the logs of deployed processes."`
	Soak     soakCmd     `cmd:"" help:"Inject faults into the deployed program, in separate processes on loopback, and check its promises."`
	Crowd    crowdCmd    `cmd:"" help:"Play clients that do not behave against a listener of your own deployment, and check that it goes on."`
	Bound    boundCmd    `cmd:"" help:"Estimate the request rate that the model servers of a deployment can serve, also after a loss."`
	Deploy   deployCmd   `cmd:"" help:"Check the files with which the platform runs the system."`
	Version  versionCmd  `cmd:"" help:"Show the version."`
}

// streams are the standard output and error of a command.
type streams struct {
	out io.Writer
	err io.Writer
}

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var cli root
	exited := -1
	parser, err := kong.New(
		&cli,
		kong.Name("knapweedproxy"),
		kong.Description("A router for language-model pipelines and services over mixed accelerators.\n\nStart with: knapweedproxy demo"),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exited = code }),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		return report(stderr, kwcode.New(kwcode.Usage, "%v", err))
	}
	ctx, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		return report(stderr, kwcode.New(kwcode.Usage, "%v; see knapweedproxy --help", err))
	}
	return report(stderr, ctx.Run(&streams{out: stdout, err: stderr}))
}

// report writes an error to w and returns its exit code.
func report(w io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	coded := kwcode.FromError(err)
	_, _ = fmt.Fprintf(w, "knapweedproxy: %s\n", coded.Error())
	return exitCode(coded.Code)
}

func exitCode(c kwcode.Code) int {
	switch {
	case c == kwcode.Usage:
		return ExitUsage
	case c == kwcode.WrongAnswer:
		return ExitWrongAnswer
	case c == kwcode.PeerUnreachable:
		return ExitUnreachable
	case c/blockSize == blockSettings || c == kwcode.KeyFileBad:
		return ExitSettings
	case c/blockSize == blockControl || c/blockSize == 1 || c/blockSize == blockWire:
		return ExitRefused
	}
	return ExitFailed
}
