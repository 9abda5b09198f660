#!/bin/sh
# Builds the stand-ins of the second review into target/, after the build of the
# deploy file.
cd "$(dirname "$0")/.." || exit 1
make -s -j8 BUILD=target target/fake_store target/tool_calls target/tool_proxy || exit 1
for name in worker-2 call-2; do
	${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -o target/$name review/$name.c -lpthread || exit 1
done
