package experiment

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/internal/lab/load"
	"github.com/bramblemast/bramblemast/internal/lab/oracle"
)

// Output is the result of an experiment.
type Output struct {
	Name        string    `json:"name"`
	Description string    `json:"description,omitempty"`
	Mode        Mode      `json:"mode"`
	Seed        uint64    `json:"seed"`
	Repeats     int       `json:"repeats"`
	Started     time.Time `json:"started"`
	Nodes       int       `json:"nodes"`
	// Capacity is the queries per second that keep every slot busy.
	Capacity float64     `json:"capacity_per_s"`
	Steps    []load.Step `json:"steps"`
	Baseline string      `json:"baseline"`
	Arms     []ArmOutput `json:"arms"`
	Aims     []AimOutput `json:"aims,omitempty"`
	Runs     []RunOutput `json:"runs"`
	// Source is the text of the document.
	Source string `json:"source"`
}

// ArmOutput is the figures of one arm over the repeats.
type ArmOutput struct {
	Name    string   `json:"name"`
	Figures []Figure `json:"figures"`
}

// Figure is one metric of an arm.
type Figure struct {
	Metric Metric   `json:"metric"`
	Value  Interval `json:"value"`
	// Ratio compares with the baseline, repeat by repeat; nil for the baseline
	// itself and where the baseline's figure is zero.
	Ratio *Interval `json:"ratio,omitempty"`
}

// AimOutput says whether an aim was kept by the mean over the repeats.
type AimOutput struct {
	Arm        string   `json:"arm"`
	Metric     Metric   `json:"metric"`
	RelativeTo string   `json:"relative_to,omitempty"`
	AtMost     *float64 `json:"at_most,omitempty"`
	AtLeast    *float64 `json:"at_least,omitempty"`
	Value      Interval `json:"value"`
	Met        bool     `json:"met"`
}

// RunOutput is one run of the load.
type RunOutput struct {
	Repeat int `json:"repeat"`
	// Arm is empty in the shared mode.
	Arm     string          `json:"arm,omitempty"`
	Seed    uint64          `json:"seed"`
	Load    *load.Result    `json:"load"`
	Oracle  oracle.Findings `json:"oracle"`
	Backend *BackendWork    `json:"backend,omitempty"`
}

// Violations returns the number of violations over all runs.
func (o *Output) Violations() int64 {
	var total int64
	for _, run := range o.Runs {
		total += run.Oracle.Count
	}
	return total
}

// MissedAims returns the number of aims that were not kept.
func (o *Output) MissedAims() int {
	missed := 0
	for _, aim := range o.Aims {
		if !aim.Met {
			missed++
		}
	}
	return missed
}

// Arm returns the figures of an arm, or nil.
func (o *Output) Arm(name string) *ArmOutput {
	for index := range o.Arms {
		if o.Arms[index].Name == name {
			return &o.Arms[index]
		}
	}
	return nil
}

// Figure returns a metric of the arm, or nil if it was not measured.
func (a *ArmOutput) Figure(metric Metric) *Figure {
	for index := range a.Figures {
		if a.Figures[index].Metric == metric {
			return &a.Figures[index]
		}
	}
	return nil
}

// Write writes the output as JSON.
func (o *Output) Write(writer io.Writer) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", " ")
	return errors.Wrap(encoder.Encode(o), "write experiment output")
}

// ReadOutput reads what Write wrote.
func ReadOutput(path string) (*Output, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read experiment output")
	}
	var output Output
	if err := json.Unmarshal(content, &output); err != nil {
		return nil, errors.Wrapf(err, "parse experiment output %s", path)
	}
	return &output, nil
}
