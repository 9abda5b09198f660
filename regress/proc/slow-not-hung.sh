# The accelerators are slow, as when too many streams share them, and the next
# token takes longer than the progress timeout although nothing hangs.  A
# router that treats this as a hang moves the stream to another worker, which
# repeats its work, and fails streams that only had to wait.
. "$(dirname "$0")/lib.sh"
init "$1"
write_set
start_platform
for i in 0 1 2 3 4 5; do
	start engine-$i "$build/fake_engine" --port "$(engine_port $i)" \
		--set "$set" --record "$record" --speed 0.06
	until_ok responds "127.0.0.1:$(engine_port $i)/v1/state"
done
start_plain 1
start_plain 2
start_plain 3
until_ok apply
extra='"progress_timeout_ms":200,'
start_router 0
until_ok ready 0
load stream /score --name slow --count 2 --concurrency 2 --tokens 4 \
	--target "$(router 0)"
echo "attempts that failed: $(count_log router-0 ' 3004 ')"
verify
