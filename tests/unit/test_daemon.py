"""Tests of the process-wide settings of the daemon."""

from __future__ import annotations

import gc

from samphirebend.gctuning import GC_THRESHOLD_OBJECTS, tune_garbage_collector


def test_garbage_collection_skips_objects_from_startup() -> None:
    """Guards against collections over all modules, which block the loop."""
    thresholds = gc.get_threshold()
    try:
        tune_garbage_collector()
        assert len(gc.get_objects()) < gc.get_freeze_count() / 10
        assert gc.get_threshold()[0] == GC_THRESHOLD_OBJECTS
    finally:
        gc.unfreeze()
        gc.set_threshold(*thresholds)
