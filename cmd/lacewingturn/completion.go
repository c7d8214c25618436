package main

import (
	"fmt"
	"os"

	"lacewingturn.example/cmd/lacewingturn/session"
)

// completion prints the script that turns on completion of commands and flags in a
// shell. To complete a line, the shell runs this program with COMP_LINE set.
type completion struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"bash, zsh or fish."`
}

var completionScripts = map[string]string{
	"bash": "complete -C %q lacewingturn\n",
	"zsh":  "autoload -U +X bashcompinit && bashcompinit\ncomplete -C %q lacewingturn\n",
	"fish": "function __complete_lacewingturn\n    set -lx COMP_LINE (commandline -cp)\n    test -z (commandline -ct)\n" +
		"    and set COMP_LINE \"$COMP_LINE \"\n    %q\nend\ncomplete -f -c lacewingturn -a \"(__complete_lacewingturn)\"\n",
}

// Run prints the script with the path of this executable.
func (c completion) Run(s *session.Session) error {
	path, err := os.Executable()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.Out, completionScripts[c.Shell], path)
	return err
}
