package report

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramblemast/bramblemast/internal/lab/experiment"
	"github.com/bramblemast/bramblemast/internal/lab/load"
)

func TestReport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "report")
}

func summaryOf(arm string, factor float64) load.ArmSummary {
	latency := load.Quantiles{Count: 100}
	for _, point := range [][2]float64{{0.1, 8}, {0.5, 12}, {0.9, 20}, {0.99, 90}, {0.999, 120}} {
		latency.Curve = append(latency.Curve, load.CurvePoint{Quantile: point[0], Value: point[1] * factor})
	}
	return load.ArmSummary{Arm: arm, Latency: latency}
}

func figure(metric experiment.Metric, mean float64) experiment.Figure {
	return experiment.Figure{Metric: metric, Value: experiment.Interval{Mean: mean, Low: mean * 0.9, High: mean * 1.1, Repeats: 3}}
}

// sample is an output with two arms.
func sample() *experiment.Output {
	bound := 0.5
	output := &experiment.Output{
		Name: "sample", Baseline: "baseline", Source: "name: sample <&>",
		Aims: []experiment.AimOutput{{Arm: "tuned", Metric: experiment.MetricP99, RelativeTo: "baseline", AtMost: &bound}},
	}
	result := &load.Result{}
	for index, name := range []string{"baseline", "tuned"} {
		scale := 1 - 0.4*float64(index)
		output.Arms = append(output.Arms, experiment.ArmOutput{Name: name, Figures: []experiment.Figure{
			figure(experiment.MetricP50, 12*scale), figure(experiment.MetricP99, 90*scale), figure(experiment.MetricP999, 120*scale),
			figure(experiment.MetricCoverageMean, 1), figure(experiment.MetricExtraLoad, 0.04*float64(index)),
		}})
		result.Arms = append(result.Arms, summaryOf(name, scale))
		for second := range 5 {
			result.Timeline = append(result.Timeline, load.Second{Second: second, Arm: name, Answered: 10, P50: 12 * scale, P99: 90 * scale})
		}
	}
	output.Runs = []experiment.RunOutput{{Load: result}}
	return output
}

var _ = Describe("a report", func() {
	It("draws each plot that has figures, and a page that needs no other file", func() {
		directory := GinkgoT().TempDir()
		path, err := Write(sample(), directory)
		Expect(err).NotTo(HaveOccurred())
		page, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		for _, name := range []string{"latency_quantiles", "coverage", "extra_load", "latency_tail", "latency_over_time"} {
			content, err := os.ReadFile(filepath.Join(directory, name+".png"))
			Expect(err).NotTo(HaveOccurred())
			drawn, err := png.Decode(bytes.NewReader(content))
			Expect(err).NotTo(HaveOccurred())
			Expect(drawn.Bounds().Dx()).To(BeNumerically(">", 500))
		}
		Expect(filepath.Join(directory, "goodput.png")).NotTo(BeAnExistingFile())
		text := string(page)
		Expect(bytes.Count(page, []byte("data:image/png;base64,"))).To(Equal(5))
		Expect(text).NotTo(MatchRegexp(`(src|href)="(https?:)?/`))
		Expect(text).To(ContainSubstring("missed"))
		Expect(text).To(ContainSubstring("name: sample &lt;&amp;&gt;"))
	})

	It("keeps what the JSON output holds", func() {
		var encoded bytes.Buffer
		Expect(sample().Write(&encoded)).To(Succeed())
		path := filepath.Join(GinkgoT().TempDir(), "sample.json")
		Expect(os.WriteFile(path, encoded.Bytes(), 0o600)).To(Succeed())
		Expect(experiment.ReadOutput(path)).To(Equal(sample()))
	})
})
