# All routers of a data centre are cut off from all workers, those of the other one are
# not.  The callers of both must be served.
. edge/lib.sh
CENTRES=2
start_cut_off 4
serve_while_cut_off "1 2" "3 4"
