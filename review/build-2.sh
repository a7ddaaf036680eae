#!/bin/sh
# Checks what the scripts of cases 6 to 10 need. Their stand-ins use only the
# standard library of Python, so nothing has to be compiled or installed.
cd "$(dirname "$0")/.." || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
    echo "Python 3.11 is needed" >&2
    exit 1
}
for file in review/fleet2.py review/[6-9]/case.py review/10/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file" || exit 1
done
[ -d target/deps ] || {
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 1
}
echo "stand-ins of cases 6 to 10 are ready"
