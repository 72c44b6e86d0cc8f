#!/bin/sh
# Builds the stand-ins of the scripted cases into review/bin. Needs Go and nothing else.
set -eu
cd "$(dirname "$0")/stand"
GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -buildvcs=false -o ../bin/stand .
