#!/bin/sh
# Builds the stand-ins of the scripts. They use the standard library only.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOWORK=off GOFLAGS= GOPROXY=off go build -buildvcs=false -o ../bin/standin .
