#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. It needs the build of the deploy file and review/build-2.sh, and takes about 70 s.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
for program in target/bramblemast-edge target/review-stand-2; do
	if [ ! -x "$root/$program" ]; then
		echo "$program is not built" >&2
		exit 2
	fi
done
exec "$root/target/review-stand-2" --root "$root" --record "$here/record.txt" leaving
