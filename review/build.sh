#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-lab ./review/_lab
