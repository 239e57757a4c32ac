#!/bin/sh
# Builds the stand-ins of the cases review/11 to review/15, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-3/ ./review/stand
