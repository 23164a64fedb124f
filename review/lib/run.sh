#!/bin/sh
# Runs case.py of the folder that is the first argument, for 118 seconds at most. Exit status: 1 if the rule was broken,
# 0 if it held, 2 if the case couldn't run.
cd "$1" || exit 2
command -v python3 >/dev/null || exit 2
[ -x "$(sed -n 's/^run = "\([^ "]*\).*/\1/p' ../../deploy/service.toml | sed 's|^|../../|')" ] || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
