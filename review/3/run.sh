#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" guarantee 3
