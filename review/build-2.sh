#!/usr/bin/env bash
# Builds the stand-ins and scenarios of cases 6 to 10. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/scenarios review/standins-2/main.rs
