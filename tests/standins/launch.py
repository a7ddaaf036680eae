"""Starts the stand-in of the table service as a process and controls it."""

from __future__ import annotations

import json
import subprocess
import sys
import urllib.request
from types import TracebackType
from typing import Any


class TableService:
    """A running stand-in; leaving the context ends the process."""

    def __init__(self, *arguments: str) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "tests.standins.table_service", *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self._process.stdout is not None
        self.port: int = json.loads(self._process.stdout.readline())["port"]
        self.url = f"http://127.0.0.1:{self.port}"

    def __enter__(self) -> TableService:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._process.kill()
        self._process.wait()
        assert self._process.stdout is not None
        self._process.stdout.close()

    def control(self, **faults: Any) -> None:
        """Switch faults on or off, or set the list of upstreams."""
        self._fetch("/_control", json.dumps(faults).encode())

    def counts(self) -> dict[str, int]:
        """Return how often each operation and error occurred."""
        counts: dict[str, int] = self._fetch("/_counts")
        return counts

    def endpoint_slices(self) -> dict[str, Any]:
        """Return the platform's list of upstreams."""
        slices: dict[str, Any] = self._fetch("/endpointslices")
        return slices

    def _fetch(self, path: str, body: bytes | None = None) -> Any:
        with urllib.request.urlopen(self.url + path, body, timeout=5) as response:
            return json.loads(response.read())
