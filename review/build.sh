#!/bin/bash
# Builds what the cases start beside the program itself. The program is built by `build` in deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/rig ./review/rig
