"""`python -m dunepulley.simhost`: the adapter for the simulator, on standard input and output."""

from __future__ import annotations

import gc
import sys

from dunepulley.simhost.host import serve
from dunepulley.simhost.wire import WireError

EXIT_OK, EXIT_UNREADABLE = 0, 2
# Most objects live as long as an instance, so the garbage collector need not scan them at every batch.
GC_THRESHOLDS = (50_000, 20, 100)


def main() -> int:
    """Answer batches until the input ends; return the exit code."""
    gc.set_threshold(*GC_THRESHOLDS)
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n", line_buffering=False, write_through=False)
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"simhost: {error}", file=sys.stderr)
        return EXIT_UNREADABLE
    except UnicodeDecodeError as error:
        print(f"simhost: input is not UTF-8: {error}", file=sys.stderr)
        return EXIT_UNREADABLE
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
