# All plain workers are busy and none requested a backoff.  Their callers must be
# told to return once load has drained, not at once as after a backoff.
. edge/lib.sh
export FAKE_SLOTS=1 FAKE_EVENT_MS=200
start_twins 1
"$build/tool_calls" busy 4 160 $routers >"$dir/calls"
logged 1 '"why":"all workers busy"' && echo "workers were busy"
logged 1 '"why":"workers back off"' && echo "taken for a backoff"
verify 0.1
