"""Encodes and decodes the rows of the replica that hosts send to each other."""

from __future__ import annotations

import math
from typing import Final

import msgspec
from result import Err, Ok, Result

from .replica import Row, Transfer
from .updates import InvalidRow


class _RowMessage(msgspec.Struct, array_like=True):
    """One row of the replica."""

    key: str
    value: bytes | None
    version: int


class _RowsMessage(msgspec.Struct, array_like=True):
    """Rows that complete a table up to a version.

    The rows are encoded one by one, so that one that fails to decode costs no
    other.
    """

    rows: list[msgspec.Raw]
    version: int
    is_snapshot: bool = False  # all present rows rather than changes
    age_s: float | None = None  # age of the table; None: unknown
    # Age of the customers' keys, if the table has them; see `credentials`.
    credentials_age_s: float | None = None


class ReceivedRows:
    """A transfer from another host and the ages of its table."""

    __slots__ = ("age_s", "credentials_age_s", "invalid", "transfer")

    def __init__(
        self,
        transfer: Transfer,
        invalid: list[InvalidRow],
        age_s: float | None,
        credentials_age_s: float | None,
    ) -> None:
        self.transfer = transfer
        self.invalid = invalid  # rows that are not in the transfer
        self.age_s = age_s
        self.credentials_age_s = credentials_age_s


_encoder: Final = msgspec.msgpack.Encoder()
_message_decoder: Final = msgspec.msgpack.Decoder(_RowsMessage)
_row_decoder: Final = msgspec.msgpack.Decoder(_RowMessage)


def encode_rows(
    transfer: Transfer, age_s: float | None, credentials_age_s: float | None = None
) -> bytes:
    """Encode a transfer with the ages of its table, in seconds."""
    rows = [
        msgspec.Raw(_encoder.encode(_RowMessage(row.key, row.value, row.version)))
        for row in transfer.rows
    ]
    message = _RowsMessage(
        rows, transfer.version, transfer.is_snapshot, age_s, credentials_age_s
    )
    return _encoder.encode(message)


def decode_rows(table: str, data: bytes) -> Result[ReceivedRows, str]:
    """Decode the rows of a table; return an error text if that fails as a whole."""
    try:
        message = _message_decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as exc:
        return Err(str(exc))
    rows: list[Row] = []
    invalid: list[InvalidRow] = []
    for raw in message.rows:
        try:
            row = _row_decoder.decode(raw)
        except (msgspec.DecodeError, RecursionError) as exc:
            invalid.append(InvalidRow(table, "", str(exc)))
            continue
        rows.append(Row(table, row.key, row.value, row.version))
    transfer = Transfer(rows, message.version, message.is_snapshot)
    ages = _check_age(message.age_s), _check_age(message.credentials_age_s)
    return Ok(ReceivedRows(transfer, invalid, *ages))


def _check_age(age_s: float | None) -> float | None:
    """Return an age, or None for a number that is none, such as NaN."""
    return age_s if age_s is not None and 0.0 <= age_s < math.inf else None
