"""Child processes of a test and the loopback addresses that they use."""

from __future__ import annotations

import ctypes
import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, Self

import msgspec

ROOT: Final = Path(__file__).resolve().parent.parent
START_TIMEOUT_S: Final = 15.0
PR_SET_PDEATHSIG: Final = 1  # constant from <sys/prctl.h>
STACK_SAMPLES: Final = 5
STACK_INTERVAL_S: Final = 0.5
STACK_CHARS: Final = 20_000  # printed from the end of the log

# Below the ephemeral range, so that no outgoing connection occupies a port.
_ports = itertools.cycle(range(10_000, 32_000))
_libc = ctypes.CDLL(None)


def loopback_ip(index: int = 0) -> str:
    """Return one of the 180 loopback addresses of this test process.

    They are derived from the process id, so that no two test processes share
    one.
    """
    pid, (block, low) = os.getpid(), divmod(index, 60)
    second = 64 * (block + 1) + (pid >> 10) % 64
    return f"127.{second}.{pid >> 2 & 255}.{(pid & 3) * 64 + low + 1}"


def free_port(ip: str) -> int:
    """Return a port of the address on which nothing listens."""
    for port in _ports:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((ip, port))
            except OSError:
                continue
            return port
    raise AssertionError


def eventually(check: Callable[[], object], timeout_s: float, what: str) -> float:
    """Wait until `check` returns true; return the elapsed seconds.

    `what` names the condition in the error on a timeout.
    """
    start = time.monotonic()
    while time.monotonic() - start < timeout_s:
        if check():
            return time.monotonic() - start
        time.sleep(0.02)
    raise AssertionError(f"timed out after {timeout_s} s: {what}")


def _end_with_parent() -> None:
    """Let the kernel kill this process when the parent's thread ends."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Child:
    """A process that runs a Python module, with its output files."""

    def __init__(
        self,
        name: str,
        module: str,
        args: list[str],
        folder: Path,
        env: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.out = folder / f"{name}.out"
        self.log = folder / f"{name}.log"
        with self.out.open("wb") as out, self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module, *args],
                cwd=ROOT,
                env=os.environ | (env or {}),
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=log,
                preexec_fn=_end_with_parent,
            )
        self.pid = self.process.pid

    def print_stack(self) -> None:
        """Print stack samples of a stand-in that does not respond.

        SIGUSR1 makes it write the stacks of all threads to its log.
        """
        for _ in range(STACK_SAMPLES):
            self.process.send_signal(signal.SIGUSR1)
            time.sleep(STACK_INTERVAL_S)
        for name in ("schedstat", "wchan"):
            print(f"{self.name} {name}:", Path(f"/proc/{self.pid}/{name}").read_text())
        print(f"{self.name} stacks:\n{self.log.read_text()[-STACK_CHARS:]}")

    def running(self) -> bool:
        """Return whether the process is still running."""
        return self.process.poll() is None

    def first_line(self, timeout_s: float = START_TIMEOUT_S) -> dict[str, Any]:
        """Wait for the JSON line that a stand-in prints once it listens."""
        self.wait_for(lambda: b"\n" in self.out.read_bytes(), timeout_s)
        line: dict[str, Any] = msgspec.json.decode(
            self.out.read_bytes().splitlines()[0]
        )
        return line

    def wait_for(self, check: Callable[[], object], timeout_s: float) -> None:
        """Wait until `check` returns true.

        Raise an error with the end of the log on a timeout, or if the process
        ends.
        """
        end = time.monotonic() + timeout_s
        while not check():
            if not self.running() or time.monotonic() > end:
                tail = self.log.read_text(errors="replace")[-2000:]
                state = self.process.poll()
                raise AssertionError(f"{self.name} not ready (exit {state}):\n{tail}")
            time.sleep(0.02)

    def send(self, sig: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self.running():
            self.process.send_signal(sig)

    def kill(self) -> None:
        """Send SIGKILL and wait for the end of the process."""
        self.send(signal.SIGKILL)
        self.process.wait()

    def peak_memory_kb(self) -> int:
        """Return the peak resident set size so far."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0])


class ProcessGroup:
    """Processes that share a folder and end together, as a context manager."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.children: dict[str, Child] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Kill all processes and wait for their end."""
        for child in self.children.values():
            child.send(signal.SIGKILL)
        for child in self.children.values():
            child.process.wait()

    def spawn(self, name: str, module: str, *args: object) -> Child:
        """Start a Python module as a process."""
        previous = self.children.get(name)
        assert previous is None or not previous.running(), f"{name} still runs"
        child = Child(name, module, [str(arg) for arg in args], self.folder)
        self.children[name] = child
        return child

    def write_json(self, name: str, data: object) -> Path:
        """Write a JSON file to the folder; return its path."""
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(data))
        return path

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.children[name].kill()

    def freeze(self, name: str) -> None:
        """Suspend a process."""
        self.children[name].send(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self.children[name].send(signal.SIGCONT)

    def stop(self, name: str, timeout_s: float = 30.0) -> float:
        """Send SIGTERM; return the seconds until the process ended."""
        start = time.monotonic()
        self.children[name].send(signal.SIGTERM)
        self.children[name].process.wait(timeout_s)
        return time.monotonic() - start
