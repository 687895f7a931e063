"""Measures processor time and memory of idle entry VMs as the number of engine VMs they watch grows.

usage: bench/node_cost.py BIN_DIR     prints CSV; about two minutes; loopback only; ends by itself.
Each size runs the stand-ins and one entry VM (without peers), with engine VMs of one failure domain and
no configuration, so that only watching is measured.
"""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

SIZES = [8, 32, 64, 128]
SETTLE_SECONDS = 4
MEASURED_SECONDS = 10
PLATFORM_PORT = 21000
HTTP_PORT = 20999
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def topology(engines):
    vms = [
        {
            "id": f"gpu-{index}",
            "partner": "partner",
            "region": "region",
            "failure_domain": "fd",
            "fabric_domain": "fabric",
            "role": "engine",
            "state": "live",
            "accelerators": 4,
            "endpoint": {"host": "127.0.0.1", "port": PLATFORM_PORT + 1 + index},
            "service": "",
            "enforces_fence": True,
        }
        for index in range(engines)
    ]
    return {"vms": vms}


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure(bin_dir, engines, folder):
    path = folder / f"topology-{engines}.json"
    path.write_text(json.dumps(topology(engines)))
    quiet = {"stdout": subprocess.DEVNULL, "stderr": subprocess.DEVNULL}
    standins = subprocess.Popen(
        [bin_dir / "kumquatcart-standins", "--topology", path, "--listen", f"127.0.0.1:{PLATFORM_PORT}"],
        **quiet,
    )
    time.sleep(1)
    node = subprocess.Popen(
        [bin_dir / "kumquatcart", "serve", "--platform-url", f"http://127.0.0.1:{PLATFORM_PORT}",
         "--failure-domain", "fd", "--http-listen", f"127.0.0.1:{HTTP_PORT}"],
        **quiet,
    )
    try:
        time.sleep(SETTLE_SECONDS)
        before = cpu_seconds(node.pid)
        time.sleep(MEASURED_SECONDS)
        cores = (cpu_seconds(node.pid) - before) / MEASURED_SECONDS
        return cores, resident_mb(node.pid)
    finally:
        for process in (node, standins):
            process.terminate()
        for process in (node, standins):
            process.wait(timeout=30)


def main():
    bin_dir = pathlib.Path(sys.argv[1])
    print("engine_vms,cores,resident_mb")
    with tempfile.TemporaryDirectory() as folder:
        for engines in SIZES:
            cores, memory = measure(bin_dir, engines, pathlib.Path(folder))
            print(f"{engines},{cores:.4f},{memory:.1f}", flush=True)


if __name__ == "__main__":
    main()
