#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. It needs no network.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-stand-2 ./review/_stand2
