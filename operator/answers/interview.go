package answers

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Interview writes the questions that a first configuration needs to out, reads the
// replies from in, and returns an answers file with comments. Everything else is
// set to a default and can be edited in the file. It fails with
// io.ErrUnexpectedEOF if the input ends early, and with the first problem if the
// replies contradict each other.
func Interview(in io.Reader, out io.Writer) ([]byte, error) {
	q := &interviewer{in: bufio.NewScanner(in), out: out}
	s := site{
		Name:             q.name("Name of the site", "site"),
		Region:           q.name("Region", "region1"),
		DataCentres:      q.names("Data centres, separated by commas", "dc1, dc2, dc3"),
		Racks:            q.number("Racks in each data centre", "4", 1, 1000),
		InstancesPerRack: q.number("Instances in each rack", "4", 1, 1000),
		Processors:       q.number("Processors of an instance", "16", 1, 10_000),
		MemoryGB:         q.number("Memory of an instance in GB", "64", 1, 1_000_000),
		Services:         q.names("Services, separated by commas", "web"),
	}
	total := len(s.DataCentres) * s.Racks * s.InstancesPerRack
	s.Spare = q.number(fmt.Sprintf("Spare instances, out of %d", total), strconv.Itoa(total/6), 0, total)
	s.MinAvailable = q.number("Share of a pool that must stay available, in per cent", "75", 0, 99)
	s.Goal = q.choice("Most important goal", goals, goals[0])
	if q.err != nil {
		return nil, q.err
	}
	data := s.render()
	if _, problems := Read(data); len(problems) > 0 {
		return nil, fmt.Errorf("answers: these values contradict each other: %s", problems[0])
	}
	return data, nil
}

// goals are the keys of Goals in the answers file.
var goals = []string{"short_work_wait", "buffer_cost", "rollout", "moves"}

// interviewer repeats each question until the reply is valid. After an error,
// such as the end of the input, it asks no further questions.
type interviewer struct {
	in  *bufio.Scanner
	out io.Writer
	err error
}

func (q *interviewer) ask(question, defaultValue string, accept func(string) error) {
	for q.err == nil {
		fmt.Fprintf(q.out, "%s [%s]: ", question, defaultValue)
		if !q.in.Scan() {
			q.err = q.in.Err()
			if q.err == nil {
				q.err = io.ErrUnexpectedEOF
			}
			return
		}
		text := strings.TrimSpace(q.in.Text())
		if text == "" {
			text = defaultValue
		}
		problem := accept(text)
		if problem == nil {
			return
		}
		fmt.Fprintf(q.out, "%v\n", problem)
	}
}

func checkName(text string) error {
	if !namePattern.MatchString(text) {
		return fmt.Errorf("%q is not a name; write 1 to 63 lower-case letters, digits and hyphens, without a hyphen at the start", shorten(text))
	}
	return nil
}

func (q *interviewer) name(question, defaultValue string) (name string) {
	q.ask(question, defaultValue, func(text string) error {
		name = text
		return checkName(text)
	})
	return name
}

func (q *interviewer) names(question, defaultValue string) (names []string) {
	q.ask(question, defaultValue, func(text string) error {
		names = nil
		seen := map[string]bool{}
		for _, part := range strings.Split(text, ",") {
			part = strings.TrimSpace(part)
			if err := checkName(part); err != nil {
				return err
			}
			if seen[part] {
				return fmt.Errorf("%s is listed twice", part)
			}
			seen[part] = true
			names = append(names, part)
		}
		return nil
	})
	return names
}

func (q *interviewer) number(question, defaultValue string, low, high int) (n int) {
	q.ask(question, defaultValue, func(text string) (err error) {
		n, err = strconv.Atoi(text)
		if err != nil || n < low || n > high {
			return fmt.Errorf("write a whole number from %d to %d", low, high)
		}
		return nil
	})
	return n
}

func (q *interviewer) choice(question string, choices []string, defaultValue string) (chosen string) {
	list := strings.Join(choices, ", ")
	q.ask(question+" ("+list+")", defaultValue, func(text string) error {
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
