#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs no network once the modules of the project are there.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/standin ./review/standin
