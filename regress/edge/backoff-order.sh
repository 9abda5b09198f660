# Engines without layers refuse the placer's first orders and request a backoff.
# A placer that orders again at the next plan sends to them during the backoff.
. edge/lib.sh
start_store
put_config 1
for n in 1 2; do start_worker $n model a big; done
for n in 1 2; do wait_for "request_backoff $n 2"; done
start_router 1 a
wait_for "ready 1"
for n in 1 2; do wait_for "grep -q ^BACKOFF $dir/worker.$n.log"; done
sleep 3
for n in 1 2; do request_backoff $n; done
for n in 1 2; do wait_for "grep -q ^ORDER $dir/worker.$n.log" && echo "layers ordered"; done
backoffs
