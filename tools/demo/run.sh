#!/usr/bin/env bash
# Runs the system on loopback: stand-ins, entry VMs, the sample configuration of both partners, a load, and the death of
# one VM of a group. Exits 0 only when every promise held. With KEEP=1 it leaves everything running.
set -euo pipefail
cd "$(dirname "$0")/../.."

bin=${BIN:-build/release/bin}
seconds=${SECONDS_OF_LOAD:-24}
rate=${RATE:-60}
platform=127.0.0.1:18000
domains=(brest-a quimper-b lorient-c bc-west-a bc-west-b bc-west-c)
wanted_groups=9
work=$(mktemp -d)
pids=()
entries=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
fail() {
  echo "demo: $1; logs in $work" >&2
  stop_all
  exit 1
}
trap 'fail interrupted' INT TERM

start_standins() {
  "$bin/kumquatcart-standins" --topology examples/demo-topology.json --listen "$platform" 2>"$work/standins.log" &
  pids+=($!)
}

start_entry() {  # index, failure domain
  local partner=armor-concours region=breizh-ouest
  if [ "$1" -ge 3 ]; then
    partner=cedarline
    region=bc-west
  fi
  "$bin/kumquatcart" serve --platform-url "http://$platform" --vm-id "entry-$2" --partner "$partner" \
    --region "$region" --failure-domain "$2" --http-listen "127.0.0.1:$((8081 + $1))" \
    --peer-listen "127.0.0.1:$((19001 + $1))" --peer-key-file "$work/peer.key" 2>"$work/entry-$2.log" &
  pids+=($!)
  entries+=("127.0.0.1:$((8081 + $1))")
}

# Prints how many groups the first entry VM sees whole.
whole_groups() {
  curl -sf -m 2 "http://${entries[0]}/status" 2>/dev/null | python3 -c '
import json, sys
print(sum(group["state"] == "whole" for group in json.load(sys.stdin)["groups"]))' 2>/dev/null || echo 0
}

# Prints the last member of a whole truelle-llm group. The first entry VM knows the members in its own failure domain.
pick_victim() {
  curl -sf -m 2 "http://${entries[0]}/status" | python3 -c '
import json, sys
groups = [g for g in json.load(sys.stdin)["groups"] if g["state"] == "whole" and g["claim"]["service"] == "truelle-llm" and g["claim"]["members"]]
print(sorted(groups, key=lambda g: g["claim"]["group"])[0]["claim"]["members"][-1])'
}

wait_for() {  # what, seconds, command...
  local what=$1 end=$((SECONDS + $2))
  shift 2
  until "$@"; do
    [ "$SECONDS" -lt "$end" ] || fail "no $what in time"
    sleep 0.1
  done
}
answers() { curl -sf -m 2 -o /dev/null "http://$1"; }
has_whole() { [ "$(whole_groups)" -ge "$1" ]; }
has_fewer() { [ "$(whole_groups)" -lt "$1" ]; }

head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/peer.key"
chmod 600 "$work/peer.key"
start_standins
wait_for "platform" 5 answers "$platform/vms"
for index in "${!domains[@]}"; do start_entry "$index" "${domains[$index]}"; done
for entry in "${entries[@]}"; do wait_for "entry VM at $entry" 10 answers "$entry/healthz"; done
echo "demo: ${#entries[@]} entry VMs are up"

nodes=$(IFS=,; echo "${entries[*]}")
for partner in armor-concours cedarline; do
  "$bin/kumquatcart" apply "examples/$partner.json" --platform-url "http://$platform" --nodes "$nodes" --actor "demo-$partner" ||
    fail "the configuration of $partner was not accepted"
done
wait_for "$wanted_groups whole groups" 20 has_whole "$wanted_groups"
for entry in "${entries[@]}"; do wait_for "readiness of $entry" 10 answers "$entry/readyz"; done
echo "demo: $wanted_groups replica groups are whole"

echo "demo: $rate requests a second for $seconds s"
flags=()
for entry in "${entries[@]}"; do flags+=(--entry "$entry"); done
"$bin/kumquatcart-load" "${flags[@]}" --platform "$platform" --callers examples/demo-callers.json \
  --rate "$rate" --duration-s "$seconds" --least-completed 0.9 >"$work/summary.txt" &
load=$!
pids+=("$load")

sleep $((seconds / 4))
victim=$(pick_victim) || fail "no group to break"
curl -sf -m 2 -o /dev/null -d "{\"kind\":\"vm-die\",\"target\":\"$victim\"}" "http://$platform/faults" || fail "no fault"
echo "demo: VM $victim died; whole groups before: $wanted_groups"
wait_for "closed routing" 5 has_fewer "$wanted_groups"
echo "demo: routing to its group closed; whole groups: $(whole_groups)"
wait_for "repaired group" 15 has_whole "$wanted_groups"
echo "demo: the group is back; whole groups: $(whole_groups)"

status=0
wait "$load" || status=$?
cat "$work/summary.txt"
if [ "${KEEP:-0}" = 1 ]; then
  echo "demo: everything keeps running; stop it with: kill ${pids[*]}"
  echo "try: $bin/kumquatcart status --nodes $nodes"
  echo "     $bin/kumquatcart history --platform-url http://$platform --nodes $nodes"
  echo "     curl -N http://${entries[0]}/v1/chat/completions -H 'Authorization: Bearer armor-demo-token-1' \\"
  echo "       -d '{\"model\":\"truelle-llm\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"Which bond?\"}]}'"
  echo "     curl -d '{\"kind\":\"vm-die\",\"target\":\"brest-a-gpu-1\"}' http://$platform/faults; curl -X DELETE http://$platform/faults"
  trap - INT TERM
  exit "$status"
fi
stop_all
[ "$status" = 0 ] || { echo "demo: a promise did not hold or too little was completed; logs in $work" >&2; exit "$status"; }
rm -rf "$work"
echo "demo: every promise held"
