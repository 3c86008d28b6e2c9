package experiment

// armFigures holds the metrics of each repeat of one arm.
type armFigures struct {
	name    string
	repeats []map[Metric]float64
}

// compare works out the figures of each arm, with ratios to the baseline of
// the same repeat.
func compare(arms []*armFigures, baseline string) []ArmOutput {
	var base *armFigures
	for _, arm := range arms {
		if arm.name == baseline {
			base = arm
		}
	}
	outputs := make([]ArmOutput, 0, len(arms))
	for _, arm := range arms {
		output := ArmOutput{Name: arm.name}
		for _, metric := range metrics {
			values := arm.values(metric)
			if len(values) == 0 {
				continue
			}
			figure := Figure{Metric: metric, Value: newInterval(values)}
			if base != nil && arm != base {
				figure.Ratio = ratio(arm, base, metric)
			}
			output.Figures = append(output.Figures, figure)
		}
		outputs = append(outputs, output)
	}
	return outputs
}

func (a *armFigures) values(metric Metric) []float64 {
	var values []float64
	for _, repeat := range a.repeats {
		if value, measured := repeat[metric]; measured {
			values = append(values, value)
		}
	}
	return values
}

// ratio compares two arms repeat by repeat; nil if no repeat allows it.
func ratio(arm, base *armFigures, metric Metric) *Interval {
	var ratios []float64
	for index, repeat := range arm.repeats {
		if index >= len(base.repeats) {
			break
		}
		value, measured := repeat[metric]
		reference, known := base.repeats[index][metric]
		if measured && known && reference != 0 {
			ratios = append(ratios, value/reference)
		}
	}
	if len(ratios) == 0 {
		return nil
	}
	interval := newInterval(ratios)
	return &interval
}

// judge compares the aims with the figures. An aim whose metric was not
// measured is not met.
func judge(aims []Aim, arms []*armFigures) []AimOutput {
	byName := make(map[string]*armFigures)
	for _, arm := range arms {
		byName[arm.name] = arm
	}
	outputs := make([]AimOutput, 0, len(aims))
	for _, aim := range aims {
		output := AimOutput{
			Arm: aim.Arm, Metric: aim.Metric, RelativeTo: aim.RelativeTo,
			AtMost: aim.AtMost, AtLeast: aim.AtLeast,
		}
		value := aimValue(aim, byName)
		if value != nil {
			output.Value = *value
			output.Met = aim.keeps(value.Mean)
		}
		outputs = append(outputs, output)
	}
	return outputs
}

func aimValue(aim Aim, arms map[string]*armFigures) *Interval {
	arm := arms[aim.Arm]
	if arm == nil {
		return nil
	}
	if aim.RelativeTo != "" {
		return ratio(arm, arms[aim.RelativeTo], aim.Metric)
	}
	values := arm.values(aim.Metric)
	if len(values) == 0 {
		return nil
	}
	interval := newInterval(values)
	return &interval
}

func (a Aim) keeps(value float64) bool {
	if a.AtMost != nil {
		return value <= *a.AtMost
	}
	return value >= *a.AtLeast
}
