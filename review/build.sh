#!/bin/sh
# Builds the stand-ins and checks that the scripts of the cases start. Run it after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/stand ./review/stand
