#!/usr/bin/env bash
# Builds what the scripts of the review start. The programs of the system come from the build of deploy/system.toml;
# the stand-ins are review/testbed.py and need only Python 3 and its standard library.
set -eu
cd "$(dirname "$0")/.."
python3 -m py_compile review/testbed.py review/*/case.py
rm -rf review/__pycache__ review/*/__pycache__
cargo build --release --locked -p quetzalhill -p quetzalhill-agent
