"""Measures the time from publishing a change set until it is in force on every live entry VM.

Needs a running platform and entry VMs; KUMQUATCART_PLATFORM_URL and KUMQUATCART_NODES name them.
Each change is one run of the program, so the times include its start, reading the configuration and
polling the members every 200 ms.

usage: in_force.py PROGRAM CHANGES
"""

import json
import subprocess
import sys
import time


def apply_change(program, number):
    """Publishes one change; returns its seconds, or None when it was not in force in time."""
    change = {
        "kind": "Organisation",
        "name": "in-force-bench",
        "owner": "in-force-bench",
        "spec": {"weight": 1 + number % 1000, "display_name": str(time.time_ns())},
    }
    start = time.monotonic()
    result = subprocess.run(
        [program, "apply", "--wait-in-force", "--timeout-s", "10", "-"],
        input=json.dumps({"objects": [change]}),
        capture_output=True,
        text=True,
        check=False,
    )
    return time.monotonic() - start if result.returncode == 0 else None


def main():
    program, changes = sys.argv[1], int(sys.argv[2])
    results = [apply_change(program, number) for number in range(changes)]
    seconds = sorted(result for result in results if result is not None)
    print("changes,failed,median_s,p95_s,max_s")
    if seconds:
        p95 = seconds[min(len(seconds) - 1, len(seconds) * 95 // 100)]
        print(f"{changes},{changes - len(seconds)},{seconds[len(seconds) // 2]:.3f},{p95:.3f},{seconds[-1]:.3f}")
    return 0 if len(seconds) == changes else 1


if __name__ == "__main__":
    sys.exit(main())
