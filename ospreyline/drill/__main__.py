"""The bench adapter: batches on standard input, replies on standard output (`python -m ospreyline.drill`)."""

from __future__ import annotations

import sys
from typing import BinaryIO

from ospreyline.drill.frames import BenchAdapter, FrameError


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer batches until the input ends; the exit status is 1 after a malformed frame."""
    adapter = BenchAdapter()
    try:
        while (reply := adapter.answer_next_batch(source)) is not None:
            sink.write(reply)
            sink.flush()
    except FrameError as error:
        print(f"ospreyline.drill: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer))
