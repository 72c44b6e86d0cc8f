#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start; one case uses those of the
# second. Needs only Go.
set -euo pipefail
cd "$(dirname "$0")"
export GOWORK=off GOFLAGS=-mod=mod GOPROXY=off
(cd stand2 && go build -o ../../target/review-stand2 .)
(cd stand3 && go build -o ../../target/review-3 .)
