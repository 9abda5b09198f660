#!/bin/sh
# The operator rotates the key of a tenant: a version takes the old key away and
# adds one of 128 hexadecimal digits.  The old key must not work later than 5 s
# after the confirmation.  With TROUBLE=0 the new key has 64 digits.
here=$(cd "$(dirname "$0")" && pwd)
# What was sent, answered and run.
record=$here/record.txt
: >"$record"
. "$here/../lib.sh"

start_platform
digits=128
[ "$TROUBLE" = 1 ] || digits=64
new=$(printf '%0128d' 0 | sed 's/0/a7/g' | cut -c1-$digits)
note "$(now_us) version 1 is in force: key-1 gets $(ask 1 before-1 b/x key-1) $(ask 2 before-2 b/x key-1)"
put_config 2 "[{\"Name\":\"acme\",\"ApiKeys\":[\"$new\"]}]"
confirmed=$(now_us)
note "$confirmed version 2 is confirmed: without key-1, with one of $digits digits"
sleep 5.5
note "$(now_us) requests with key-1 are sent, over 5 s later"
for i in 1 2 3 4 5 6 7 8 9 10; do
	for r in 1 2; do
		note "$(now_us) router $r: revoked-$i-$r gets $(ask $r revoked-$i-$r b/x key-1)"
		sleep 0.5
	done
done
note "the new key gets $(ask 1 new-1 b/x "$new") $(ask 2 new-2 b/x "$new")"
sleep 0.3
cat "$dir"/worker.7.log "$dir"/worker.8.log >>"$record"
runs=$(grep -h '^GOT' "$dir"/worker.*.log | grep -c revoked-)
note "runs of requests with the key taken away: $runs"
grep -h 'configuration-bad' "$dir"/router.*.log | cut -c1-200 >>"$record"
[ "$runs" -gt 0 ] && verdict yes "$runs requests with a key that was taken away ran later than RevokeMs"
verdict no "none ran"
