#!/bin/sh
# Builds the stand-ins of the second review's cases into target/, from the root of the repository.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o target/review-driver ./review/_standins-2/driver
