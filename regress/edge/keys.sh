# A key is revoked.  If the store is reachable its callers receive 401.  A
# router that is cut off refuses all keys once it can no longer check them, and
# does not accept a revoked one.
. edge/lib.sh
start_platform
put_config 2 '"key-2"'
wait_for "logged 1 '\"version\":2,'"
curl -s -o "$dir/null" -w '%{http_code}\n' -H 'Host: h.example' -H 'Attempt-Id: k1' -H 'Authorization: Token key-1' "http://$(router 1)/r/x"
curl -s -o "$dir/null" -w '%{http_code}\n' -H 'Host: h.example' -H 'Attempt-Id: k2' -H 'Authorization: Token key-2' "http://$(router 1)/r/x"
fault silent
wait_for "! ready 1" && echo "not ready"
wait_for "[ \$(curl -s -o $dir/null -w '%{http_code}' -H 'Host: h.example' -H 'Attempt-Id: k3' -H 'Authorization: Token key-2' http://$(router 1)/r/x) = 503 ]" && echo "refused"
fault none
wait_for "ready 1" && echo "ready"
