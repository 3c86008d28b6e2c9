// Command stand2 runs the cases of this review that are scripts: it starts the
// product's processes, and stand-ins of the platform's store, servers and
// clients, on loopback.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

func main() {
	root := flag.String("root", "", "folder of the repository")
	record := flag.String("record", "", "file of the record")
	flag.Parse()
	cases := map[string]func(*stage) (bool, error){"leaving": playLeaving, "crowd": playCrowd, "entries": playEntries}
	play := cases[flag.Arg(0)]
	if play == nil || *root == "" || *record == "" {
		fmt.Fprintln(os.Stderr, "usage: stand2 --root FOLDER --record FILE CASE")
		os.Exit(exitCannot)
	}
	os.Exit(run(*root, *record, play))
}

// run plays a case in a temporary folder and returns the exit code.
func run(root, record string, play func(*stage) (bool, error)) int {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	absolute, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer file.Close()
	scene := newStage(absolute, folder, file, os.Getenv("TROUBLE") != "0")
	defer scene.end()
	isBroken, err := play(scene)
	switch {
	case err != nil:
		scene.note("could not run: %v", err)
		return exitCannot
	case isBroken:
		scene.note("the rule was broken")
		return exitBroken
	}
	scene.note("the rule held")
	return exitHeld
}
