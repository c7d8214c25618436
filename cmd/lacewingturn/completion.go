package main

import (
	"fmt"
	"os"

	"lacewingturn.example/cmd/lacewingturn/session"
)

// completion prints what a shell needs to complete commands and flags. The
// shell then runs this program with COMP_LINE set.
type completion struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"bash, zsh or fish."`
}

var completionScripts = map[string]string{
	"bash": "complete -C %q lacewingturn\n",
	"zsh":  "autoload -U +X bashcompinit && bashcompinit\ncomplete -C %q lacewingturn\n",
	"fish": "function __complete_lacewingturn\n    set -lx COMP_LINE (commandline -cp)\n    test -z (commandline -ct)\n" +
		"    and set COMP_LINE \"$COMP_LINE \"\n    %q\nend\ncomplete -f -c lacewingturn -a \"(__complete_lacewingturn)\"\n",
}

// Run implements the command.
func (c completion) Run(s *session.Session) error {
	path, err := os.Executable()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.Out, completionScripts[c.Shell], path)
	return err
}
