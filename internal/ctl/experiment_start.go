package ctl

import (
	"encoding/json"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/template"
)

// experimentStart is "experiment start TENANT/NAME FILE".
type experimentStart struct {
	env *environment
	changeOptions
	Replace    bool `long:"replace" description:"replace an experiment that is running"`
	Positional struct {
		Key  string `positional-arg-name:"TENANT/NAME" required:"yes"`
		File string `positional-arg-name:"FILE" required:"yes" description:"experiment file, - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *experimentStart) Execute([]string) error {
	key, err := parseKey(c.Positional.Key)
	if err != nil {
		return err
	}
	data, err := c.env.readFile(c.Positional.File)
	if err != nil {
		return err
	}
	current, err := fetchLive(c.env, key)
	if err != nil {
		return err
	}
	if current.Experiment != nil && !c.Replace {
		return errors.Errorf("experiment %q is running on %s; stop it first or give --replace", current.Experiment.Name, key)
	}
	document, err := withExperiment(current, data)
	if err != nil {
		return &usageError{cause: errors.Wrap(err, c.Positional.File)}
	}
	document.Comment = "start experiment " + document.Experiment.Name
	return publish(c.env, &c.changeOptions, document, c.expectedOr(current.Revision))
}

// expectedOr returns the given expected revision, or else the one that the
// change was built on.
func (o *changeOptions) expectedOr(base uint64) uint64 {
	if o.ExpectedRevision != nil {
		return *o.ExpectedRevision
	}
	return base
}

// withExperiment returns a copy of a template with the experiment of a file.
// The whole is parsed as a template file, so that every fault is listed with
// its path.
func withExperiment(current *template.Template, file []byte) (*template.Template, error) {
	if len(file) > template.MaxFileSize {
		return nil, template.ErrTooLarge
	}
	experiment, err := yaml.YAMLToJSON(file)
	if err != nil {
		return nil, errors.New("not valid YAML: " + yaml.FormatError(err, false, false))
	}
	bare := *current
	bare.Experiment = nil
	encoded, err := template.Encode(&bare)
	if err != nil {
		return nil, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(encoded, &fields); err != nil {
		return nil, errors.Wrap(err, "read template in force")
	}
	fields["experiment"] = experiment
	whole, err := json.Marshal(fields)
	if err != nil {
		return nil, errors.Wrap(err, "join template and experiment")
	}
	return template.Parse(whole)
}
