package faultproxy

import (
	"context"
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// File is the document that "bramblemast-lab proxy run" reads.
type File struct {
	Seed uint64 `yaml:"seed"`
	// Control is the address of the control interface.
	Control  string       `yaml:"control"`
	Links    []LinkConfig `yaml:"links"`
	Schedule []Step       `yaml:"schedule"`
}

// Step is a rule that is in force for a while.
type Step struct {
	// At is the time from the start of the proxy.
	At Duration `yaml:"at"`
	// Duration is how long the rule is in force; until the end if zero.
	Duration Duration `yaml:"duration"`
	Rule     `yaml:",inline"`
}

// LoadFile reads a document and checks it; every error is listed at once.
func LoadFile(path string) (*File, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read proxy file")
	}
	var file File
	if err := yaml.UnmarshalWithOptions(content, &file, yaml.Strict()); err != nil {
		return nil, errors.Wrapf(err, "parse proxy file %s", path)
	}
	return &file, errors.Wrapf(file.check(), "check proxy file %s", path)
}

func (f *File) check() error {
	var problems []string
	names := make(map[string]bool)
	for index, link := range f.Links {
		if link.Name == "" || link.Listen == "" || link.Upstream == "" {
			problems = append(problems, fmt.Sprintf("links[%d]: needs name, listen and upstream", index))
		}
		if names[link.Name] {
			problems = append(problems, fmt.Sprintf("links[%d].name: %q is used twice", index, link.Name))
		}
		names[link.Name] = true
	}
	for index, step := range f.Schedule {
		if step.Link != "" && !names[step.Link] {
			problems = append(problems, fmt.Sprintf("schedule[%d].link: no link %q", index, step.Link))
		}
		if _, err := step.compile(0); err != nil {
			problems = append(problems, fmt.Sprintf("schedule[%d].%v", index, err))
		}
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "; "))
	}
	return nil
}

// event is the begin or the end of a step.
type event struct {
	at    time.Duration
	step  int
	begin bool
}

// Run plays a schedule from now on; it returns after the last event or when the
// context ends. Rules without a duration stay in force.
func (p *Proxy) Run(ctx context.Context, schedule []Step) error {
	start := time.Now()
	ids := make(map[int]int)
	for _, next := range events(schedule) {
		if !waitUntil(ctx, start.Add(next.at)) {
			return ctx.Err()
		}
		if !next.begin {
			if err := p.RemoveRule(ids[next.step]); err != nil && !errors.Is(err, ErrNoRule) {
				return err
			}
			continue
		}
		id, err := p.AddRule(schedule[next.step].Rule)
		if err != nil {
			return err
		}
		ids[next.step] = id
	}
	return nil
}

func events(schedule []Step) []event {
	var all []event
	for index, step := range schedule {
		all = append(all, event{at: step.At.Std(), step: index, begin: true})
		if step.Duration > 0 {
			all = append(all, event{at: (step.At + step.Duration).Std(), step: index})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

func waitUntil(ctx context.Context, moment time.Time) bool {
	timer := time.NewTimer(time.Until(moment))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
