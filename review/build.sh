#!/bin/sh
# Builds the stand-ins that the scripts start; the router itself is built by the
# command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/fake_store target/fake_worker \
	target/tool_calls target/tool_proxy
cc -O1 -Wall -Wextra -o target/review_http review/http.c
