#!/bin/sh
# Installs the pinned libraries and copies the packages of this workspace into target/deps, which is
# on Python's path where the programs run. Libraries are reinstalled only if their list has changed.
set -eu
deps=target/deps
if [ ! -f "$deps/.installed" ] || [ requirements/constraints.txt -nt "$deps/.installed" ] ||
    [ requirements/deploy.txt -nt "$deps/.installed" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --target "$deps" \
        -c requirements/constraints.txt -r requirements/deploy.txt
    touch "$deps/.installed"
fi
# Each package is replaced as a whole, so that no removed or outdated module remains.
for source in packages/messages packages/state packages/policy packages/entry packages/dispatch platform; do
    for package in "$source"/src/*; do
        rm -rf "${deps:?}/$(basename "$package")"
        cp -R "$package" "$deps/"
    done
done
# Processes can't write bytecode there; without this, each start would compile the sources again.
python3 -m compileall -q "$deps"
