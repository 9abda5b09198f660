# Guards against a start during which a signal ends the router for longer than need be:
# the dynamic linker clears all thread-local storage before main() runs.
. edge/lib.sh
bytes=$(readelf -lW "$build/magnolia-edge" | awk '$1 == "TLS" { print $6 }')
[ $((${bytes:-0})) -le 4096 ] && echo "thread-local storage is small" || echo "thread-local storage: $((bytes)) bytes"
