package load

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// statPath is where the kernel counts the ticks of all cores.
const statPath = "/proc/stat"

// Columns of the first line of statPath that count idle ticks.
const (
	statIdle   = 3
	statIOWait = 4
)

// processorSample is the processor time used up to a moment.
type processorSample struct {
	at      time.Time
	process time.Duration
	// busy and total are ticks of the machine; total is zero if unknown.
	busy, total float64
}

func sampleProcessor() processorSample {
	sample := processorSample{at: time.Now()}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		sample.process = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	content, err := os.ReadFile(statPath)
	if err == nil {
		sample.busy, sample.total = machineTicks(string(content))
	}
	return sample
}

// machineTicks reads the line of all cores; it returns zeros if it is not as
// expected.
func machineTicks(content string) (busy, total float64) {
	line, _, _ := strings.Cut(content, "\n")
	fields := strings.Fields(line)
	if len(fields) <= statIOWait+1 || fields[0] != "cpu" {
		return 0, 0
	}
	for column, text := range fields[1:] {
		ticks, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return 0, 0
		}
		total += ticks
		if column != statIdle && column != statIOWait {
			busy += ticks
		}
	}
	return busy, total
}

// since returns the use of processors between an earlier sample and s.
func (s processorSample) since(earlier processorSample) Processor {
	use := Processor{Cores: runtime.NumCPU(), Machine: -1}
	if elapsed := s.at.Sub(earlier.at); elapsed > 0 {
		use.Process = float64(s.process-earlier.process) / float64(elapsed)
	}
	if ticks := s.total - earlier.total; ticks > 0 && earlier.total > 0 {
		use.Machine = (s.busy - earlier.busy) / ticks
	}
	return use
}
