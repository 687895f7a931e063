"""Runs clang-tidy over C++ files and keeps a record of those found clean.

A file is checked again when it, a project header that it includes, its compile command, the
linter's settings or a package of .ci/packages changes. Only clean results are recorded, in
$XDG_CACHE_HOME/kumquatcart-lint; without that folder every file is checked.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(".").resolve()
BUILD = ROOT / "build" / "release"
INCLUDE = re.compile(rb'^\s*#\s*include\s+"([^"]+)"', re.M)
INCLUDE_FOLDERS = [ROOT / name for name in ("src", "tests", "tools", "bench", ".")]


def cache_folder():
    base = os.environ.get("XDG_CACHE_HOME") or pathlib.Path.home() / ".cache"
    return pathlib.Path(base) / "kumquatcart-lint"


def included_headers(path, seen):
    """Adds `path` and all project headers that it includes to `seen`."""
    if path in seen:
        return
    seen[path] = path.read_bytes()
    for name in INCLUDE.findall(seen[path]):
        for folder in [path.parent, *INCLUDE_FOLDERS]:
            header = (folder / name.decode()).resolve()
            if header.is_file():
                included_headers(header, seen)


def shared_key():
    packages = (ROOT / ".ci" / "packages").read_text().split()
    versions = subprocess.run(["dpkg-query", "-W", *packages], capture_output=True, check=True).stdout
    linter = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    return versions + linter + (ROOT / ".clang-tidy").read_bytes()


def file_key(path, command, shared):
    headers = {}
    included_headers(path, headers)
    digest = hashlib.sha256(shared)
    digest.update(command.replace(str(ROOT), "").encode())
    for header in sorted(headers):
        digest.update(str(header.relative_to(ROOT)).encode() + b"\0" + headers[header] + b"\0")
    return digest.hexdigest()


def lint(path, command, shared, folder):
    key = file_key(path, command, shared)
    if (folder / key).exists():
        return True
    result = subprocess.run(["clang-tidy", "-p", str(BUILD), "--quiet", str(path)], capture_output=True, text=True)
    if result.returncode == 0 and not result.stdout.strip():
        if key == file_key(path, command, shared):  # Not edited meanwhile.
            (folder / key).touch()
        return True
    print(f"{path.relative_to(ROOT)}:\n{result.stdout}", flush=True)
    if result.returncode != 0 and not result.stdout.strip():
        print(result.stderr, flush=True)
    return result.returncode == 0


def main():
    commands = {}
    for entry in json.loads((BUILD / "compile_commands.json").read_text()):
        path = pathlib.Path(entry["directory"], entry["file"]).resolve()
        commands[path] = entry["command"]
    folder = cache_folder()
    folder.mkdir(parents=True, exist_ok=True)
    shared = shared_key()
    files = [pathlib.Path(name).resolve() for name in sys.argv[1:]]
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        clean = list(pool.map(lambda path: lint(path, commands.get(path, ""), shared, folder), files))
    if not all(clean):
        return 1
    print("linter: clean")
    return 0


if __name__ == "__main__":
    sys.exit(main())
