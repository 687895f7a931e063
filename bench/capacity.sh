#!/usr/bin/env bash
# Measures the slopes behind docs/CAPACITY.md and draws its plots. Bounded: about 6 minutes, 128 processes,
# loopback only. With LARGE=1 the peer network is measured at 256 processes too (about 3 minutes more).
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/release/bin
results=bench/results
"$bin/kumquatcart-routing-cost-bench" > "$results/routing_cost.csv"
"$bin/kumquatcart-config-judge-bench" > "$results/config_judge.csv"
"$bin/kumquatcart-placement-bench" "$results/placement.csv" > "$results/placement.txt"
python3 bench/node_cost.py "$bin" > "$results/node_cost.csv"
"$bin/kumquatcart-request-path-bench" > "$results/request_path.csv"
sizes=(8 32 128)
[ "${LARGE:-0}" = 1 ] && sizes+=(256)
bash bench/dissemination.sh "${sizes[@]}"
gnuplot bench/plots.gp
