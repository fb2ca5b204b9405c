#!/bin/bash
# Builds the programs of the cases, which contain the project's stand-ins, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -buildvcs=false -o review/bin/ ./review/cases/...
