#!/bin/bash
# Builds the stand-ins that the cases 6 and above start. The program itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/rig-2/bin
go build -o review/rig-2/bin/rig-2 ./review/rig-2
