package load

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/policy"
)

// contentGroups is the number of groups that the keys of the stand-ins'
// contents are spread over.
const contentGroups = 16

// GroupQueries returns one query for each group of the stand-ins' contents, so
// that answers to different callers differ.
func GroupQueries() []string {
	queries := make([]string, 0, contentGroups)
	for group := range contentGroups {
		queries = append(queries, fmt.Sprintf("group%d/", group))
	}
	return queries
}

// ParseStep reads a step of the form "RATE:DURATION", for example "200:10s".
func ParseStep(text string) (Step, error) {
	rateText, durationText, found := strings.Cut(text, ":")
	rate, rateErr := strconv.ParseFloat(rateText, 64)
	duration, durationErr := time.ParseDuration(durationText)
	if !found || rateErr != nil || durationErr != nil {
		return Step{}, errors.Errorf("step %q: want RATE:DURATION, for example 200:10s", text)
	}
	return Step{Rate: rate, Duration: policy.Duration(duration)}, nil
}
