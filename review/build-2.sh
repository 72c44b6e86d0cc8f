#!/usr/bin/env bash
# Builds the stand-ins of the second review. They need Go and nothing else.
set -euo pipefail
cd "$(dirname "$0")/stand2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-stand2 .
