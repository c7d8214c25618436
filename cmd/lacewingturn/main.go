// Command lacewingturn is the operators' command line. Commands prepare or
// change the control state, queries read it.
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

// commandLine is everything that can be written on the command line.
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
		return s.ExitCode(err)
	}
	kongplete.Complete(parser, kongplete.WithExitFunc(leave))
	parsed, err := parser.Parse(args)
	if err != nil {
		return s.ExitCode(result.New(result.InvalidInput, "%v", err))
	}
	var c settings.Checker
	s.Settings = line.Flags.Check(&c)
	if err := c.Err(); err != nil {
		return s.ExitCode(err)
	}
	return s.ExitCode(parsed.Run(s))
}

// exit carries an exit status out of kong, which calls its exit function after
// it has printed help or completions.
type exit int

func leave(status int) { panic(exit(status)) }

func exitStatus(recovered any, status int) int {
	if e, ok := recovered.(exit); ok {
		return int(e)
	}
	if recovered != nil {
		panic(recovered)
	}
	return status
}

// userName is the name that changes are recorded under without a certificate.
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
		kong.Writers(out, errOut), kong.Exit(leave), kong.UsageOnError(),
		kong.Vars{"user": userName()},
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
}
