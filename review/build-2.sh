#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are review/common-2/standins.py, which needs Python 3.9 or later and its standard library and
# nothing else, so there is nothing to compile. This checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import sys; assert sys.version_info >= (3, 9); sys.path.insert(0, "common-2"); import standins'
