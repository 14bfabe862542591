#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" route-moves 3
