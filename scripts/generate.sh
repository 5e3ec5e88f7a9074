#!/usr/bin/env bash
# Regenerates the C++ sources of the Cap'n Proto schemas. Requires the Debian
# package "capnproto".
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
for schema in src/rpc/schema/peer src/dispatch/peer/schema/dispatch; do
  cd "$root/$(dirname "$schema")"
  capnp compile -oc++ --src-prefix=. "$(basename "$schema").capnp"
done
