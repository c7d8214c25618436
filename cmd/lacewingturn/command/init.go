package command

import (
	"errors"
	"io/fs"
	"os"

	"lacewingturn.example/cmd/lacewingturn/session"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/answers"
)

// Init is the command that writes a file of answers from a sample, a file or an
// interview at the terminal.
type Init struct {
	File   string `arg:"" optional:"" default:"answers.yaml" help:"File to write; - writes the standard output."`
	Sample string `xor:"from" help:"Copy a sample: skoflikk or karaoke."`
	From   string `xor:"from" help:"Copy a file of answers after checking it; - reads the standard input."`
	Force  bool   `help:"Replace the file if it exists."`
}

// Run writes the file or the standard output. It returns an Exists result if the file
// exists and Force is not set.
func (c Init) Run(s *session.Session) error {
	data, err := c.content(s)
	if err != nil {
		return err
	}
	if c.File == "-" {
		_, err := s.Out.Write(data)
		return err
	}
	return c.write(s, data)
}

func (c Init) content(s *session.Session) ([]byte, error) {
	switch {
	case c.Sample != "":
		data, err := answers.Sample(c.Sample)
		if err != nil {
			return nil, result.New(result.InvalidInput, "%v", err)
		}
		return data, nil
	case c.From != "":
		source := AnswersFile{File: c.From}
		data, err := source.readFile(s)
		if err != nil {
			return nil, err
		}
		if _, problems := answers.Read(data); len(problems) > 0 {
			return nil, source.invalid(s, problems)
		}
		return data, nil
	case !s.Terminal:
		return nil, result.New(result.InvalidInput, "no questions can be asked, because standard input is not a terminal; give --sample or --from")
	}
	return answers.Interview(s.In, s.Err)
}

func (c Init) write(s *session.Session, data []byte) error {
	flags := os.O_WRONLY | os.O_CREATE | os.O_TRUNC
	if !c.Force {
		flags |= os.O_EXCL
	}
	f, err := os.OpenFile(c.File, flags, 0o644)
	if errors.Is(err, fs.ErrExist) {
		return result.New(result.Exists, "%s exists; give --force to replace it", c.File)
	}
	if err != nil {
		return result.New(result.InvalidInput, "%v", err)
	}
	_, err = f.Write(data)
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	return s.Print(struct {
		File string `json:"file"`
		Next string `json:"next"`
	}{c.File, "edit it, then lacewingturn check " + c.File})
}
