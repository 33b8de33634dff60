#!/bin/sh
# Builds the stand-ins and the scripts' program of the second review (cases 6 to 10), after the deploy file's build.
set -eu
cd "$(dirname "$0")"
mkdir -p ../bin
exec go build -o ../bin/cases2 ./cases2
