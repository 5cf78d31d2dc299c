#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. The build of deploy/system.toml comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review3/ ./review/standins3
