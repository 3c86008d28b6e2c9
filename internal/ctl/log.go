package ctl

import (
	"io"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/explain"
)

// logExplain is "log explain REQUEST [FILE...]".
type logExplain struct {
	env        *environment
	Positional struct {
		Request string   `positional-arg-name:"REQUEST" required:"yes" description:"id of the request"`
		Files   []string `positional-arg-name:"FILE" description:"log files of nodes; standard input if none"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *logExplain) Execute([]string) error {
	lines, err := c.env.readLogs(c.Positional.Files)
	if err != nil {
		return err
	}
	story, err := explain.Explain(lines, c.Positional.Request)
	if err != nil {
		return err
	}
	if c.env.options.Output == "json" {
		return c.env.printJSON(story)
	}
	story.Write(c.env.output)
	return nil
}

// logSummary is "log summary [FILE...]".
type logSummary struct {
	env        *environment
	From       string `long:"from" value-name:"TIME" description:"only requests answered at or after this time (RFC 3339)"`
	To         string `long:"to" value-name:"TIME" description:"only requests answered at or before this time (RFC 3339)"`
	Positional struct {
		Files []string `positional-arg-name:"FILE" description:"log files of nodes; standard input if none"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *logSummary) Execute([]string) error {
	from, err := parseMoment("--from", c.From)
	if err != nil {
		return err
	}
	to, err := parseMoment("--to", c.To)
	if err != nil {
		return err
	}
	lines, err := c.env.readLogs(c.Positional.Files)
	if err != nil {
		return err
	}
	groups := explain.Summary(lines, from, to)
	return c.env.print(groups, func(t *table) {
		t.row("COUNT", "CAUSE", "ROUTE", "SERVICE", "FIRST", "LAST", "EXAMPLE")
		for _, group := range groups {
			t.row(strconv.Itoa(group.Count), string(group.Cause), group.Route, group.Service,
				group.First.Format(time.RFC3339Nano), group.Last.Format(time.RFC3339Nano), group.Example)
		}
	})
}

func parseMoment(flag, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	moment, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, usagef("%s: %q is not a time such as 2026-12-02T20:15:00Z", flag, text)
	}
	return moment, nil
}

// readLogs reads the lines of all files, or of the input if there are none.
func (env *environment) readLogs(files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		lines, _, err := explain.Read(env.input)
		return lines, err
	}
	var all []explain.Line
	for _, name := range files {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(name string) (lines []explain.Line, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	// An error of Close changes nothing: the file has been read, or another error is returned.
	defer func() { _ = file.Close() }()
	lines, _, err = explain.Read(io.Reader(file))
	return lines, errors.WithMessage(err, name)
}
