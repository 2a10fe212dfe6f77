#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
GOFLAGS= go build -trimpath -tags review -o target/ ./review/casestand2
