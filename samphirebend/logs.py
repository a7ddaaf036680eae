"""Logging configuration: loguru with human-readable or JSON lines.

Modules log with `from loguru import logger` and bind fields such as
request_id, service or host. Payloads are not logged: fields whose names
indicate one are dropped, bytes are shown as their length, and tracebacks
contain no values of variables. Twisted's own log events are written to the
same stream.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from types import TracebackType
from typing import TYPE_CHECKING, Final, Protocol, cast

import msgspec
from loguru import logger
from twisted.logger import (
    ILogObserver,
    LogBeginner,
    LogEvent,
    LogLevel,
    formatEvent,
    globalLogBeginner,
)
from zope.interface import implementer

from .dump import Traversal, dump, is_hidden

if TYPE_CHECKING:
    from loguru import Message, Record, RecordException

MAX_MESSAGE_LENGTH: Final = 4_000  # characters
MAX_TRACEBACK_LENGTH: Final = 8_000  # characters; the end is kept
MAX_FIELD_VALUES: Final = 50  # values in all fields of a record

_LEVELS: Final = {
    LogLevel.debug: "DEBUG",
    # Twisted logs each listening port and each request at this level.
    LogLevel.info: "DEBUG",
    LogLevel.warn: "WARNING",
    LogLevel.error: "ERROR",
    LogLevel.critical: "CRITICAL",
}


class LineStream(Protocol):
    """Destination of log lines."""

    def write(self, text: str, /) -> object: ...

    def flush(self) -> object: ...


def configure_logging(
    level: str,
    log_format: str,
    host: str,
    stream: LineStream,
    beginner: LogBeginner | None = globalLogBeginner,
    record_filter: Callable[[Record], bool] | None = None,
) -> None:
    """Write log records of `level` and above to a stream.

    `log_format` is "human" or "json". `record_filter` selects the records to
    write; without it, all are written.

    Call this once per process, because Twisted's logging can be started only
    once. With None as `beginner`, Twisted's logging is not redirected.
    """
    write = _json_line if log_format == "json" else _human_line

    def sink(message: Message) -> None:
        stream.write(write(message.record))
        stream.flush()

    logger.remove()
    # `diagnose` would print values of variables, which may be payloads or
    # keys.
    logger.add(
        sink,
        level=level,
        format="{message}",
        filter=record_filter,
        diagnose=False,
        backtrace=False,
    )
    logger.configure(extra={"host": host})
    if beginner is not None:
        observer = cast(ILogObserver, TwistedObserver())
        beginner.beginLoggingTo([observer], redirectStandardIO=False)


def _fields(record: Record) -> dict[str, object]:
    traversal = Traversal(MAX_FIELD_VALUES)
    return {
        name: dump(value, traversal)
        for name, value in record["extra"].items()
        if not is_hidden(name)
    }


def _human_line(record: Record) -> str:
    time = record["time"].strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]
    fields = " ".join(f"{name}={value}" for name, value in _fields(record).items())
    level = record["level"].name
    # Escape line breaks, so that a logged value cannot forge a record.
    message = _one_line(f"{_message(record)} {fields}".rstrip())
    line = f"{time} {level:<8} {record['name']}: {message}\n"
    return line + _traceback(record["exception"])


def _json_line(record: Record) -> str:
    fields = _fields(record)
    entry: dict[str, object] = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "module": record["name"],
        "message": _message(record),
    }
    for name, value in fields.items():
        # A bound field must not overwrite a standard field of the record.
        entry[f"field_{name}" if name in entry else name] = value
    trace = _traceback(record["exception"])
    if trace:
        entry["traceback"] = trace
    return msgspec.json.encode(entry).decode() + "\n"


def _message(record: Record) -> str:
    text = record["message"][:MAX_MESSAGE_LENGTH]
    return text.encode("utf-8", "replace").decode()


def _one_line(text: str) -> str:
    return "".join(
        character if character.isprintable() else repr(character)[1:-1]
        for character in text
    )


def _traceback(exception: RecordException | None) -> str:
    if exception is None or exception.type is None:
        return ""
    lines = traceback.format_exception(
        exception.type, exception.value, exception.traceback
    )
    text = "".join(lines)[-MAX_TRACEBACK_LENGTH:]
    return text.encode("utf-8", "replace").decode()


@implementer(ILogObserver)
class TwistedObserver:
    """Forwards Twisted's log events and failures to loguru."""

    __slots__ = ()

    def __call__(self, event: LogEvent) -> None:
        """Log one event, even if it cannot be formatted."""
        level = _LEVELS.get(event.get("log_level", LogLevel.info), "INFO")
        message = formatEvent(event) or "log event without a message"
        failure = event.get("log_failure")
        exception: (
            tuple[type[BaseException], BaseException, TracebackType | None] | None
        ) = None
        if failure is not None:
            exception = (failure.type, failure.value, failure.getTracebackObject())
        namespace = str(event.get("log_namespace", "twisted"))
        log: Callable[..., None] = (
            logger.bind(source=namespace).opt(exception=exception).log
        )
        # Pass the message as an argument, so that braces in it are not
        # placeholders.
        log(level, "{}", message)
