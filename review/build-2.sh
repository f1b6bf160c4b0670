#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on into review/bin.
set -eu
cd "$(dirname "$0")/second"
mkdir -p ../bin
go build -o ../bin/second .
