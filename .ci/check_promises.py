"""Checks docs/PROMISES.md: each promise of the users names a mechanism, tests that exist, and a metric.

Each promise is a section `## n. text` with the lines `Mechanism:`, `Tests:` (a list of test names in
backticks) and `Metric:` (names in backticks that the sources mention).
"""

import pathlib
import re
import sys

PROMISES = 8


def test_names(root):
    names = set()
    for path in (root / "tests").rglob("*.cc"):
        text = re.sub(r'"\s*\n\s*"', "", path.read_text())
        names.update(re.findall(r'TEST_CASE\(\s*"((?:[^"\\]|\\.)*)"', text))
    return names


def source_text(root):
    paths = [*(root / "src").rglob("*.cc"), *(root / "src").rglob("*.h")]
    return "\n".join(path.read_text() for path in paths)


def sections(text):
    parts = re.split(r"^## (\d+)\. ", text, flags=re.M)
    return list(zip(parts[1::2], parts[2::2]))


def quoted(body, label, following):
    match = re.search(rf"^{label}:(.*?)(?=^(?:{following}):|\Z)", body, flags=re.M | re.S)
    if match is None:
        return None
    folded = re.sub(r"\s+", " ", match.group(1))
    return re.findall(r"`([^`]+)`", folded)


def problems(root):
    text = (root / "docs" / "PROMISES.md").read_text()
    names = test_names(root)
    sources = source_text(root)
    found = sections(text)
    if [number for number, _ in found] != [str(n) for n in range(1, PROMISES + 1)]:
        yield f"expected the promises 1 to {PROMISES} in order"
    for number, body in found:
        if not re.search(r"^Mechanism: \S", body, flags=re.M):
            yield f"promise {number}: no mechanism"
        tests = quoted(body, "Tests", "Mechanism|Metric|Gaps")
        if not tests:
            yield f"promise {number}: no tests"
        for name in tests or []:
            if name not in names:
                yield f"promise {number}: there is no test '{name}'"
        metrics = quoted(body, "Metric", "Mechanism|Tests|Gaps")
        if not metrics:
            yield f"promise {number}: no metric"
        for name in metrics or []:
            if name not in sources:
                yield f"promise {number}: no source mentions the metric '{name}'"


def main():
    found = list(problems(pathlib.Path(".")))
    print("\n".join(found) if found else "promises: clean")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
