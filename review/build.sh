#!/bin/sh
# Builds the stand-ins of the scripts into target/, beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
