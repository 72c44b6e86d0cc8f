#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. Needs only Go.
set -euo pipefail
cd "$(dirname "$0")/stand3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-3 .
