#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruptions out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
case_program=target/review/case2
if [ ! -x "$case_program" ] || [ ! -x target/release/ggs-edge ]; then
    echo "not built: $case_program or target/release/ggs-edge" > "$here/record.txt"
    exit 2
fi
exec "$case_program" "$here/record.txt"
