#!/usr/bin/env bash
# Sends a load to a demo that was left running (make demo KEEP=1) while one fault after the other is switched on. Exits 0
# only when every promise held.
set -euo pipefail
cd "$(dirname "$0")/../.."

bin=${BIN:-build/release/bin}
platform=127.0.0.1:18000
entries=()
for index in 1 2 3 4 5 6; do entries+=(--entry "127.0.0.1:808$index"); done

fault() { curl -sf -m 2 -o /dev/null -d "$1" "http://$platform/faults"; }
clear_faults() { curl -sf -m 2 -o /dev/null -X DELETE "http://$platform/faults"; }
trap clear_faults EXIT

# The leaders of all whole groups, found by address: groups of other failure domains are listed without members.
read -r -a leaders <<<"$(curl -sf -m 2 http://127.0.0.1:8081/status | python3 -c '
import json, sys
status = json.load(sys.stdin)
ids = {tuple(vm["endpoint"].values()): vm["id"] for vm in status["vms"]}
groups = [group for group in status["groups"] if group["state"] == "whole"]
print(*(ids[tuple(group["leader"].values())] for group in sorted(groups, key=lambda group: group["claim"]["group"])))')"

"$bin/kumquatcart-load" "${entries[@]}" --platform "$platform" --callers examples/demo-callers.json \
  --duration-s 24 --rate "${RATE:-80}" --seed 7 &
load=$!

sleep 2
for leader in "${leaders[@]:0:3}"; do
  fault "{\"kind\":\"foreign-lines\",\"target\":\"$leader\",\"count\":5}"
  fault "{\"kind\":\"duplicate-lines\",\"target\":\"$leader\",\"count\":5}"
done
fault '{"kind":"silent-before-first-byte","target":"brest-a-registre-1","count":2}'
sleep 2
fault '{"kind":"vm-die","target":"brest-a-registre-1","duration_ms":1500}'
sleep 2
fault '{"kind":"fabric-domain-dark","target":"quimper-b-fabric-1","duration_ms":3000}'
sleep 2
fault '{"kind":"log-down","duration_ms":3000}'
sleep 2
fault "{\"kind\":\"vm-pause\",\"target\":\"${leaders[0]}\",\"duration_ms\":2500}"
fault '{"kind":"append-answer-lost","count":3}'
sleep 2
fault "{\"kind\":\"silent-mid-stream\",\"target\":\"${leaders[2]}\",\"count\":2}"
sleep 2
fault "{\"kind\":\"vm-leaving\",\"target\":\"${leaders[1]}\"}"

status=0
wait "$load" || status=$?
exit "$status"
