# A request crashes each worker that runs it after the worker has begun an answer
# that ends with its connection.  Such an answer must not pass for a whole one, which
# would clear the request: at most three workers may crash.
. edge/lib.sh
export FAKE_CRASH_ANSWER=1
start_centre 5 1 2
for n in 1 2 3 4 5; do ask $((n % 2 + 1)) p$n s/poison; done >"$dir/answers"
wait_for "logged 1 request-quarantined" && echo "quarantined"
died=0
for n in 1 2 3 4 5; do eval "kill -0 \$worker_$n 2>/dev/null" || died=$((died + 1)); done
[ $died -le 3 ] && echo "at most three workers crashed" || echo "$died workers crashed"
echo "passed for a whole answer: $(grep -c 200 "$dir/answers")"
