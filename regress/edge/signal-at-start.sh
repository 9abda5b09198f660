# Guards against signals that end a router before it has installed its handlers:
# they arrive while it reads its settings, here from a pipe.
. edge/lib.sh
start_store
put_config 1
write_settings 1 a
cp "$dir/router.1.json" "$dir/whole"

# signal_at_start SIGNAL: starts router 1 and signals it while it reads.
signal_at_start() {
	rm "$dir/router.1.json"
	mkfifo "$dir/router.1.json"
	run_router 1
	exec 3>"$dir/router.1.json"
	kill -$1 $router_1
	cp "$dir/whole" "$dir/next"
	mv "$dir/next" "$dir/router.1.json"
	(trap "" PIPE; cat "$dir/whole" >&3) 2>"$dir/null"
	exec 3>&-
}

signal_at_start HUP
wait_for "logged 1 started" && echo "HUP: started"
wait_for "logged 1 settings-reloaded" && echo "HUP: settings read again"
kill -KILL $router_1 && echo "HUP: runs"
for signal in TERM INT; do
	signal_at_start $signal
	wait $router_1
	echo "$signal: status $?"
done
