#!/bin/sh
# Builds the stand-ins of the second review into target/, after the build of the
# deploy file.
cd "$(dirname "$0")/.." || exit 1
cc=${CC:-gcc}
make -s -j8 BUILD=target target/fake_store target/tool_calls target/tool_proxy || exit 1
for name in worker-2 call-2; do
	$cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -o target/$name review/$name.c -lpthread || exit 1
done
$cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Isrc -Iplatform -Iregress -I/usr/include/tirpc \
	-o target/store-2 review/store-2.c target/regress/fk.o target/libmagnolia.a -lurcu-common -lurcu \
	-ltirpc -ljansson -lsodium -lcurl -largtable2 -levent -lhttp_parser -lcivetweb -lzstd -lm -pthread || exit 1
