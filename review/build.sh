#!/usr/bin/env bash
# Builds the program that plays the stand-ins (state service, cloud, workers, users, links) and starts the controllers.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/lab
