#!/usr/bin/env bash
set -euo pipefail
exec "$(dirname "$0")/../standins-3/run-case.sh" 15
