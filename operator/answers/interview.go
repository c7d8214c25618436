package answers

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Interview asks the questions that a first configuration needs and returns
// answers as a file with comments. Everything it does not ask has a default and
// can be edited in the file.
func Interview(in io.Reader, out io.Writer) ([]byte, error) {
	q := &interviewer{in: bufio.NewScanner(in), out: out}
	s := site{
		Name:       q.name("Name of the site", "site"),
		Region:     q.name("Region", "region1"),
		Centres:    q.names("Data centres, separated by commas", "dc1, dc2, dc3"),
		Racks:      q.number("Racks in each data centre", "4", 1, 1000),
		PerRack:    q.number("Instances in each rack", "4", 1, 1000),
		Processors: q.number("Processors of an instance", "16", 1, 10_000),
		MemoryGB:   q.number("Memory of an instance in GB", "64", 1, 1_000_000),
		Services:   q.names("Services, separated by commas", "web"),
	}
	room := len(s.Centres) * s.Racks * s.PerRack
	s.Spare = q.number(fmt.Sprintf("Spare instances, of %d in all", room), strconv.Itoa(room/6), 0, room)
	s.Keep = q.number("Share of a pool that must stay available, in per cent", "75", 0, 99)
	s.Goal = q.choice("What matters most", goals, goals[0])
	if q.err != nil {
		return nil, q.err
	}
	data := s.render()
	if _, problems := Read(data); len(problems) > 0 {
		return nil, fmt.Errorf("answers: these values do not fit together: %s", problems[0])
	}
	return data, nil
}

// goals are the keys of Goals.
var goals = []string{"short_work_wait", "buffer_cost", "rollout", "moves"}

// interviewer asks until an answer is acceptable. After an error, such as the
// end of the input, it asks nothing more.
type interviewer struct {
	in  *bufio.Scanner
	out io.Writer
	err error
}

func (q *interviewer) ask(question, byDefault string, accept func(string) error) {
	for q.err == nil {
		fmt.Fprintf(q.out, "%s [%s]: ", question, byDefault)
		if !q.in.Scan() {
			q.err = q.in.Err()
			if q.err == nil {
				q.err = io.ErrUnexpectedEOF
			}
			return
		}
		text := strings.TrimSpace(q.in.Text())
		if text == "" {
			text = byDefault
		}
		problem := accept(text)
		if problem == nil {
			return
		}
		fmt.Fprintf(q.out, "%v\n", problem)
	}
}

func checkName(text string) error {
	if !nameLike.MatchString(text) {
		return fmt.Errorf("%q is not a name; write 1 to 63 lower-case letters, digits and hyphens", shorten(text))
	}
	return nil
}

func (q *interviewer) name(question, byDefault string) (name string) {
	q.ask(question, byDefault, func(text string) error {
		name = text
		return checkName(text)
	})
	return name
}

func (q *interviewer) names(question, byDefault string) (names []string) {
	q.ask(question, byDefault, func(text string) error {
		names = nil
		seen := map[string]bool{}
		for _, part := range strings.Split(text, ",") {
			part = strings.TrimSpace(part)
			if err := checkName(part); err != nil {
				return err
			}
			if seen[part] {
				return fmt.Errorf("%s is named twice", part)
			}
			seen[part] = true
			names = append(names, part)
		}
		return nil
	})
	return names
}

func (q *interviewer) number(question, byDefault string, low, high int) (n int) {
	q.ask(question, byDefault, func(text string) (err error) {
		n, err = strconv.Atoi(text)
		if err != nil || n < low || n > high {
			return fmt.Errorf("write a whole number from %d to %d", low, high)
		}
		return nil
	})
	return n
}

func (q *interviewer) choice(question string, choices []string, byDefault string) (chosen string) {
	list := strings.Join(choices, ", ")
	q.ask(question+" ("+list+")", byDefault, func(text string) error {
		for _, c := range choices {
			if c == text {
				chosen = c
				return nil
			}
		}
		return fmt.Errorf("write one of %s", list)
	})
	return chosen
}
