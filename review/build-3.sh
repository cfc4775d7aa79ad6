#!/bin/sh
# Builds every stand-in that the scripts of this review start, the project's own too. The entry hosts' program comes from the build line of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/ ./cmd/standin ./review/stand3
