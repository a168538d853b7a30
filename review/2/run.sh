#!/bin/bash
# Direct commands that were carried out are repeated, and a task goes on elsewhere meanwhile.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-case.sh" repeated-commands "$here"
