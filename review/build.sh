#!/bin/sh
# Builds what the scripts of the cases start besides the project's own programs. Needs the Go tool chain, and no network once
# the modules of go.mod are there.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
for case in review/[0-9]*; do
	if [ -f "$case/main.go" ]; then
		go build -o "target/review-$(basename "$case")" "./$case"
	fi
done
