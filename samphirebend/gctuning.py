"""Settings of Python's garbage collector for the daemons."""

from __future__ import annotations

import gc
from typing import Final

# Growth in objects before the garbage collector looks at the youngest of them.
GC_THRESHOLD_OBJECTS: Final = 10_000


def tune_garbage_collector() -> None:
    """Keep the objects of the start out of the garbage collector's passes.

    A full pass over them blocked the event loop for 36 to 59 ms. Requests leave
    no reference cycles behind, but those in flight together hold more than the
    default of 700 objects, which started a pass every 25 requests.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS, 10, 10)
