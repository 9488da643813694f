#!/usr/bin/env bash
# Plays the case of claim.txt; TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../run-3.sh" overdue "$folder"
