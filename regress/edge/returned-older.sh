# Same as store-returned, but nobody else writes: the store's revisions are
# lower than those that routers know until the routers have written again.
BUMP=0
. edge/store-returned.sh
