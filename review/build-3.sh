#!/usr/bin/env bash
# Builds the stand-ins of the third review. The programs of the project are built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/standin-3
