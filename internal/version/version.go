// Package version holds the version of the programs.
package version

// Version is set when the programs are linked; see the Makefile.
var Version = "unknown"
