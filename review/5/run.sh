#!/bin/sh
# Shows case 5, see claim.txt. With TROUBLE=0: without the disruption.
exec "$(dirname "$0")/../run-case.sh" 5
