# Guards against answers that are unusual but allowed, and are not passed on whole.
. edge/lib.sh
start_centre 2 2 1
all="1 2 3 4"
cat >"$dir/answers" <<'EOT'
usual HTTP/1.1 200 OK\r\n%FIELDS%%LENGTH%\r\n%BODY%
no-reason HTTP/1.1 200 \r\n%FIELDS%%LENGTH%\r\n%BODY%
no-space HTTP/1.1 200\r\n%FIELDS%%LENGTH%\r\n%BODY%
reason HTTP/1.1 200 \0303\0251t\0303\0251\t(odd)\r\n%FIELDS%%LENGTH%\r\n%BODY%
version HTTP/1.0 200 OK\r\n%FIELDS%Connection: keep-alive\r\n%LENGTH%\r\n%BODY%
later-version HTTP/1.2 200 OK\r\n%FIELDS%%LENGTH%\r\n%BODY%
interim HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n%FIELDS%%LENGTH%\r\n%BODY%
names HTTP/1.1 200 OK\r\n%FIELDS%!#$&'*+-.^_`|~0aZ: 1\r\n%LENGTH%\r\n%BODY%
values HTTP/1.1 200 OK\r\n%FIELDS%X:\r\nY:\t \0200\0377 "a"\t \r\n%LENGTH%\r\n%BODY%
lines HTTP/1.1 200 OK\n%FIELDS%%LENGTH%\n%BODY%
lengths HTTP/1.1 200 OK\r\n%FIELDS%%LENGTH%%LENGTH%\r\n%BODY%
close HTTP/1.1 200 OK\r\n%FIELDS%\r\n%BODY%
old-close HTTP/1.0 200 OK\r\n%FIELDS%\r\n%BODY%
EOT
get() {
	curl -s -m 8 -o "$dir/body" -w '%{http_code} ' -X $1 -H 'Host: h.example' -H "Attempt-Id: $2" \
		-H 'Authorization: Token key-1' -H 'Token-Count: 100,20' "http://$(router 1)/$3"
	cat "$dir/body"
}
get GET first s/x >"$dir/stream"
printf '200 done' >"$dir/plain"
while read -r name bytes; do
	printf '%b' "$bytes" >"$dir/raw"
	case $name in *close) end=/close ;; *) end= ;; esac
	for call in "POST b/x plain" "GET r/x plain" "GET s/x stream"; do
		set -- $call
		set_raw request/9$end $all
		get $1 $name-$1-$2 $2 >"$dir/got"
		cmp -s "$dir/got" "$dir/$3" || echo "$name $1 $2: $(head -c 40 "$dir/got")"
		set_raw request/0 $all
		grep -q "^RAW .* $name-$1-$2\$" "$dir"/worker.*.log || echo "$name $1 $2: not sent"
	done
done <"$dir/answers"
echo "answers: $(grep -c . "$dir/answers") of each kind of call"
