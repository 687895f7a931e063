#!/usr/bin/env bash
# Measures time in force, bytes and processor time of the peer network at several sizes.
# usage: bench/dissemination.sh [nodes...]     default: 8 32 128
# Appends nothing: rewrites bench/results/dissemination.csv, or the file named by OUTPUT.
set -euo pipefail
cd "$(dirname "$0")/.."
program=${PROGRAM:-build/release/bin/dissemination_bench}
output=${OUTPUT:-bench/results/dissemination.csv}
sizes=("$@")
[ "${#sizes[@]}" -gt 0 ] || sizes=(8 32 128)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Prints the given percentile of the numbers on standard input.
percentile() { sort -n | awk -v p="$1" '{v[NR]=$1} END {i=int((NR-1)*p/100+0.5)+1; print NR ? v[i] : "none"}'; }
delays() { awk -F, -v from="$1" -v to="$2" '$1=="delay" && $2!=0 && $3>=from && $3<to {print $4}' "$work"/*.out; }
cost() { awk -F, -v phase="$1" '$1=="cost" && $3==phase {n++; out+=$4; in_+=$5; frames+=$6; cpu+=$7; if ($4>max) max=$4} END {printf "%.0f,%.0f,%.0f,%.1f,%.5f", out/n, in_/n, max, frames/n, cpu/n}' "$work"/*.out; }

mkdir -p "$(dirname "$output")"
echo "nodes,phase,p50_ms,p99_ms,max_ms,delivered,expected,bytes_out_per_s,bytes_in_per_s,bytes_out_per_s_max_node,frames_out_per_s,cpu_cores_per_node,alive_min_at_start,peak_rss_kb_max" > "$output"
for nodes in "${sizes[@]}"; do
  rm -f "$work"/*.out
  start=$(( $(date +%s%3N) + 10000 + nodes * 40 ))
  pids=()
  for ((index = 0; index < nodes; index++)); do
    timeout 120 "$program" --index "$index" --nodes "$nodes" --start-unix-ms "$start" > "$work/$index.out" &
    pids+=($!)
  done
  failed=0
  for pid in "${pids[@]}"; do wait "$pid" || failed=$((failed + 1)); done
  [ "$failed" -eq 0 ] || echo "$failed of $nodes processes failed" >&2
  alive=$(awk -F, '$1=="end" {print $3}' "$work"/*.out | sort -n | head -1)
  rss=$(awk -F, '$1=="end" {print $5}' "$work"/*.out | sort -n | tail -1)
  row() { # phase first-offset end-offset
    local count; count=$(delays "$2" "$3" | wc -l)
    echo "$nodes,$1,$(delays "$2" "$3" | percentile 50),$(delays "$2" "$3" | percentile 99),$(delays "$2" "$3" | percentile 100),$count,$(( (nodes - 1) * ($3 - $2) )),$(cost "$1"),$alive,$rss" >> "$output"
  }
  row idle 0 0
  row single 0 20
  row burst 20 170
  tail -3 "$output"
done
