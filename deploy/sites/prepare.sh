#!/usr/bin/env bash
# Copies the files that the operators' bench requires beside a site file from the kit's folder sites to this folder. The
# copies belong to the kit and are not committed: .gitignore lists them.
set -euo pipefail

usage() {
  cat <<'END'
usage: deploy/sites/prepare.sh [KIT]

Copies design.json, real.json, unlock.txt and wire.json from the folder sites in KIT, the kit's folder, to deploy/sites.
Without KIT it is what the environment's KIT names, or else ../given/kit as seen from the repository's root.
END
}

case "${1-}" in
-h | --help) usage; exit ;;
-*) usage >&2; exit 2 ;;
esac
[ $# -le 1 ] || { usage >&2; exit 2; }

here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
from=${1:-${KIT:-$here/../../../given/kit}}/sites
[ -d "$from" ] || { echo "prepare.sh: no folder $from" >&2; exit 1; }
files="design.json real.json unlock.txt wire.json"
for file in $files; do
  [ -r "$from/$file" ] || { echo "prepare.sh: no file $from/$file" >&2; exit 1; }
done
for file in $files; do
  install -m 644 "$from/$file" "$here/$file"
done
