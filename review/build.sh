#!/bin/sh
# Builds the programs of the cases, with their stand-ins, into review/bin. It needs the standard library only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
CGO_ENABLED=0 GOFLAGS=-mod=mod GOPROXY=off go build -o bin/ ./case*
