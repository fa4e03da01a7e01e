#!/usr/bin/env bash
# A server's answer has a wrong Content-Length: the sidecar beside it ends by itself.
# TROUBLE=0 plays it without the disruption. Build before: deploy/system.toml, review/build-2.sh.
cd "$(dirname "${BASH_SOURCE[0]}")" && exec ../standins-2/run-case.sh wrong-length .
