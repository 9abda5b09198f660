# The same as store-returned, but nobody else writes: the store's revisions are
# lower than those that routers know, until they have written again.
BUMP=0
. edge/store-returned.sh
