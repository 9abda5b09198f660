# A router without a configuration refuses at once and tells callers when to come
# back by the time that they have: after a restart of a large fleet a caller that
# returns at once is refused again, and does not return a third time.
. edge/lib.sh
start_store
start_router 1 a
wait_for "logged 1 started"
for ms in 20000 1500; do
	curl -s -o "$dir/null" -D - -H "Deadline-Ms: $ms" "http://$(router 1)/s/x" |
		tr -d '\r' | grep -i '^HTTP\|^Retry-After'
done
curl -s -o "$dir/null" -D - "http://$(router 1)/s/x" | tr -d '\r' | grep -i '^Retry-After'
wait_for 'logged 1 "router-not-ready.*no configuration"' && echo "the log says why it is not ready"
