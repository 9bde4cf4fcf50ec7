#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="target/deps:." python3 review/8/case.py &
pid=$!
trap 'kill "$pid"; wait "$pid"; exit 2' TERM INT
wait "$pid"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
