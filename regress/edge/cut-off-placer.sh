# The placer is cut off from all workers, and one of them is replaced.  Another router
# must take the role over and order the new one's layers, which the placer cannot.
. edge/lib.sh
start_cut_off 3
for placer in 1 2 3; do logged $placer '"name":"placer".*"self":true' && break; done
cut_off hang $placer
"$build/tool_calls" cut 4 60 $routers >"$dir/calls"
orders=$(grep -c ^ORDER "$dir/worker.1.log")
kill -KILL $worker_1
start_worker 1 model a big
wait_for "[ \$(grep -c ^ORDER $dir/worker.1.log) -gt $orders ]" && echo "the new worker has layers"
for n in 1 2 3; do
	[ $n -ne $placer ] && logged $n '"name":"placer".*"self":true' && echo "another router is the placer"
done
cut_off pass $placer
wait_for "served_by $routers" && echo "all serve"
