#!/bin/sh
# Shows case 2, see claim.txt. With TROUBLE=0: without the disruption.
exec "$(dirname "$0")/../run-case.sh" 2
