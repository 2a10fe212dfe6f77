#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, into bin/.
set -eu
cd "$(dirname "$0")/.."
GOFLAGS= go build -trimpath -tags review -o bin/ ./review/casestand3
