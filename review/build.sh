#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The project's own programs come from the deploy file's build line.
set -e
cd "$(dirname "$0")/stand"
go build -buildvcs=false -o ../bin/stand .
