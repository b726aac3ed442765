#!/bin/sh
# Installs the Debian packages named on the command line when any is missing.
set -eu
missing=
for package in "$@"; do
	dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
	    grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
apt-get update >/dev/null
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends \
    $missing >/dev/null
