"""`python -m dunepulley.simhost`: the simulator's adapter, on standard input and output."""

from __future__ import annotations

import gc
import sys

from dunepulley.simhost.host import serve
from dunepulley.simhost.wire import WireError


def main() -> int:
    # Objects that live as long as an instance need no look from the collector at every batch.
    gc.set_threshold(50_000, 20, 100)
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n", line_buffering=False, write_through=False)
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as problem:
        print(f"simhost: {problem}", file=sys.stderr)
        return 2
    except UnicodeDecodeError as problem:
        print(f"simhost: input is not UTF-8: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
