#!/usr/bin/env bash
# Regenerates the Cap'n Proto sources. Needs the Debian package "capnproto".
set -euo pipefail
cd "$(dirname "$0")/../src/rpc/schema"
capnp compile -oc++ --src-prefix=. peer.capnp
