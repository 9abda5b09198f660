# The connections of all open watches fall silent without a reset, while new
# ones work.  A watch lasts ten seconds, but a configuration must be in force
# within two.  Routers detect the newer state of the store from their other
# queries.
. edge/lib.sh
start_platform
curl -s -o "$dir/null" "http://$store/stand-in/deafen"
put_config 2
tries=0
until logged 1 '"version":2,' && logged 2 '"version":2,'; do
	tries=$((tries + 1))
	[ $tries -gt 120 ] && break
	sleep 0.05
done
[ $tries -le 120 ] && echo "in force before the watches end"
