"""Checks that no folder of src includes a header of a layer above its own."""

import pathlib
import re
import sys

LAYERS = ["base", "net", "model", "platform", "peers", "board", "control", "routing", "gateway", "entry", "cli"]
INCLUDE = re.compile(r'^#include "([a-z_]+)/')


def violations(root):
    for path in sorted((root / "src").rglob("*.*")):
        if path.suffix not in (".cc", ".h"):
            continue
        own = LAYERS.index(path.relative_to(root / "src").parts[0])
        for number, line in enumerate(path.read_text().splitlines(), 1):
            match = INCLUDE.match(line)
            if match and LAYERS.index(match.group(1)) > own:
                yield f"{path}:{number}: {LAYERS[own]} may not include {match.group(1)}"


def main():
    found = list(violations(pathlib.Path(".")))
    print("\n".join(found) if found else "layers: clean")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
