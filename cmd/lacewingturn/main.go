// Command lacewingturn is the command line for operators. Its commands prepare or
// change the control state, and its queries read it.
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"os/user"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/mattn/go-isatty"
	"github.com/willabides/kongplete"

	"lacewingturn.example/cmd/lacewingturn/command"
	"lacewingturn.example/cmd/lacewingturn/query"
	"lacewingturn.example/cmd/lacewingturn/session"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/settings"
)

// commandLine declares the flags, commands and queries for kong.
type commandLine struct {
	session.Flags
	command.Group
	Queries    query.Group `embed:""`
	Completion completion  `cmd:"" group:"Other" help:"Print the line that turns on completion in a shell."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit status.
func run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) (status int) {
	s := &session.Session{Context: ctx, In: in, Out: out, Err: errOut}
	if f, ok := in.(*os.File); ok {
		s.Terminal = isatty.IsTerminal(f.Fd())
	}
	defer func() { status = exitStatus(recover(), status) }()
	var line commandLine
	parser, err := newParser(&line, out, errOut)
	if err != nil {
		return s.ReportError(err)
	}
	kongplete.Complete(parser, kongplete.WithExitFunc(panicExit))
	parsed, err := parser.Parse(args)
	if err != nil {
		return s.ReportError(result.New(result.InvalidInput, "%v", err))
	}
	var c settings.Checker
	s.Settings = line.Flags.Check(&c)
	if err := c.Err(); err != nil {
		return s.ReportError(err)
	}
	return s.ReportError(parsed.Run(s))
}

// exit is the value of the panic that carries an exit status out of kong. kong calls
// its exit function after it has printed help or completions and does not expect the
// function to return.
type exit int

func panicExit(status int) { panic(exit(status)) }

// exitStatus returns the status of a recovered exit, or the given status if there was
// no panic. It repeats any other panic.
func exitStatus(recovered any, status int) int {
	if e, ok := recovered.(exit); ok {
		return int(e)
	}
	if recovered != nil {
		panic(recovered)
	}
	return status
}

// userName returns the name recorded with changes if the operator has no certificate,
// or an empty name if the user cannot be looked up.
func userName() string {
	u, err := user.Current()
	if err != nil {
		return ""
	}
	return u.Username
}

func newParser(line *commandLine, out, errOut io.Writer) (*kong.Kong, error) {
	return kong.New(line,
		kong.Name("lacewingturn"),
		kong.Description("Operate lacewingturn. Commands prepare or change the control state, queries read it. "+
			"The exit status is that of the result code, see docs/result-codes.md."),
		kong.Writers(out, errOut), kong.Exit(panicExit), kong.UsageOnError(),
		kong.Vars{"user": userName()},
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
}
