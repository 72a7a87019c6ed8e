# Installs the dependencies and the source of the processes in target/deps.
set -eu
deps=target/deps
if ! cmp -s deploy/requirements.txt target/requirements.txt; then
    rm -rf "$deps"
    python3 -m pip install --quiet --require-hashes --target "$deps" \
        -r deploy/requirements.txt
    cp deploy/requirements.txt target/requirements.txt
fi
for source in packages/core/src packages/wire/src packages/node/src platform
do
    cp -R "$source/." "$deps"
done
# A process has no write access to this folder. Without their bytecode it
# would compile the copied files at each start.
python3 -m compileall -q -f "$deps"
