// Command stand runs the scripted cases of the review: it starts bramblemast-edge as separate
// processes among stand-ins of the platform's store, of servers and of clients, and checks one rule.
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// setup is what every case is given.
type setup struct {
	nodes   nodeOptions
	record  *record
	trouble bool
	seed    uint64
}

// cases holds the cases by name. Each returns the descriptions of what broke the rule.
var cases = map[string]func(*setup) ([]string, error){
	"orders":  runOrders,
	"storm":   runStorm,
	"waiting": runWaiting,
}

func main() { os.Exit(execute()) }

func execute() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	folder := flag.String("folder", "", "temporary folder for settings and logs")
	program := flag.String("program", "target/bramblemast-edge", "program of a node, from the root")
	trouble := flag.Bool("trouble", true, "bring about the disruption")
	seed := flag.Uint64("seed", 1, "seed of the random choices")
	flag.Parse()
	killOnSignal()
	run := cases[*name]
	if run == nil || *folder == "" {
		fmt.Fprintln(os.Stderr, "a known -case and a -folder are needed")
		return exitNotRun
	}
	absolute, err := filepath.Abs(*root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	written, err := openRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	prepared := &setup{
		nodes:  nodeOptions{program: programPath(absolute, *program), root: absolute, folder: *folder},
		record: written, trouble: *trouble, seed: *seed,
	}
	code := judge(prepared, run)
	if err := written.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}

// judge runs a case and reports its result.
func judge(prepared *setup, run func(*setup) ([]string, error)) int {
	broken, err := run(prepared)
	if err != nil {
		prepared.record.say("could not run: %v", err)
		return exitNotRun
	}
	for _, each := range broken {
		prepared.record.say("BROKEN %s", each)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	prepared.record.say("held")
	return exitHeld
}

// programPath returns the path of the program of a node.
func programPath(root, program string) string {
	if filepath.IsAbs(program) {
		return program
	}
	return filepath.Join(root, program)
}
