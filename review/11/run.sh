#!/usr/bin/env bash
# TROUBLE=0 runs the same without the disruption.
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
exec "${here}/../standins-3/run_case.sh" leaving_callers "${here}"
