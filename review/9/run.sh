#!/bin/sh
# The operator takes away the key of the only tenant by taking the tenant out of the
# configuration; its list of tenants is empty then.  The client goes on to send
# bookings with its key.
cd "$(dirname "$0")/../.." || exit 2
trouble=${TROUBLE:-1}
record=review/9/record.txt
: >"$record"
. review/lib-2.sh

start_site 0 2 2
for n in 1 2; do wait_for "serves $n /r/probe"; done
say "times are in microseconds since the boot"

# book NAME ROUTER: sends a booking with the key.
book() { say "SENT $1 router $2: status, end, events, bytes, sent, ended: $(ask $2 POST /b/book $1)"; }
for n in 1 2 3 4; do book before-$n $((n % 2 + 1)); done
if [ "$trouble" = 1 ]; then
	tenants='[]'
	wait_for 'TENANTS=$tenants put_config 2 && grep -q "^200" "$dir/put"'
	say "CONFIRMED version 2, without the tenant, at $(now_us)"
else
	put_config 2
	say "CONFIRMED version 2, with the tenant, at $(now_us)"
fi
sleep 5.5
for n in $(seq 10); do book after-$n $((n % 2 + 1)); done
# Clients without a key, and with one that no configuration ever held.
for n in 1 2; do
	say "SENT keyless-$n: $("$bin/call-2" $(router_at $n) POST /b/book 'Host: h.example' "Attempt-Id: keyless-$n" 'Deadline-Ms: 1500')"
	say "SENT foreign-$n: $("$bin/call-2" $(router_at $n) POST /b/book 'Host: h.example' "Attempt-Id: foreign-$n" 'Authorization: Token never-issued' 'Deadline-Ms: 1500')"
done
cat "$dir"/worker.*.log | grep '^RUN' | sort -s -k3,3n >>"$record"
ran=$(grep -c '^RUN .* after-' "$record")
none=$(grep -c '^RUN .* keyless-\|^RUN .* foreign-' "$record")
if [ "$trouble" = 1 ]; then
	say "bookings with the key that ran later than RevokeMs (5 s) after the confirmation: $ran, at most 0"
	say "bookings without a key, or with one never held, that ran: $none, at most 0"
	[ "$ran" -eq 0 ] && [ "$none" -eq 0 ]
else
	say "bookings that ran: $ran of 10; without a key or with one never held: $none"
	[ "$ran" -eq 10 ] && [ "$none" -eq 0 ]
fi
