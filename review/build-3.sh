#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, into bin/.
set -eu
cd "$(dirname "$0")/.."
go build -trimpath -o bin/ ./review/casestand3
