#!/bin/sh
# Builds the stand-ins of all cases into review/bin.
cd "$(dirname "$0")/.." || exit 2
GOFLAGS= go build -tags review -o review/bin/casestand ./review/casestand
