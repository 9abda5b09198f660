# Guards against routers that the reader of their log can stop, or whose log others
# can't write to: it does not read for some seconds, or is gone, or the log is full.
. edge/lib.sh
# serve NAME: sends lookups that make more lines than a pipe and the router hold.
serve() {
	"$build/tool_calls" -k r "$1" 3 150 $(router 1) >"$dir/calls.$1"
	! grep -v " 200 whole" "$dir/calls.$1" >/dev/null && echo "$1: all served"
}
read_log() {
	cat "$dir/pipe" >>"$dir/router.1.log" &
	reader=$!
	pids="$pids $reader"
	exec 9>"$dir/pipe"
}
# run_logging: starts router 1 with its log in the pipe that this shell has open, too.
run_logging() {
	MAGNOLIARAIL_NODE_FILE="$dir/router.1.json" "$build/magnolia-edge" >&9 2>&1 &
	router_1=$!
	pids="$pids $router_1"
	wait_for "ready 1"
	wait_for 'served_by $(router 1)'
}
blocks() { [ $(($(sed -n 's/^flags:[^0-9]*/0/p' "/proc/$$/fdinfo/9") & 04000)) = 0 ]; }

start_store
put_config 1
start_worker 1 model a big
start_worker 2 app a
write_settings 1 a
mkfifo "$dir/pipe"
read_log
run_logging
blocks && echo "the descriptor of others blocks as before"

kill -STOP $reader
serve stalled
kill -CONT $reader
wait_for "logged 1 log-lines-dropped" && echo "then it says what was dropped"
serve resumed
wait_for "logged 1 request.*resumed-" && echo "it logs again"

kill -STOP $reader
serve full
kill -TERM $router_1
sleep 1
kill -CONT $reader
wait $router_1
echo "status $?"
wait_for "logged 1 '\"stopping\"' && logged 1 '\"stopped\"'" && echo "the last lines are there"

run_logging
kill -STOP $reader
serve never
kill -TERM $router_1
wait $router_1
echo "unread to the end: status $?"
kill -CONT $reader

run_logging
exec 9>&-
kill -KILL $reader
serve gone
kill -TERM $router_1
wait $router_1
echo "reader gone: status $?"

(ulimit -f 8; exec 9>"$dir/short"; run_logging; echo $router_1 >"$dir/pid")
router_1=$(cat "$dir/pid")
pids="$pids $router_1"
serve full-file
kill -TERM $router_1
wait_for "! kill -0 $router_1 2>$dir/null" && echo "log at its largest size: ended"
