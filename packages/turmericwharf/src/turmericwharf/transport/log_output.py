"""Writes log records as JSON lines without ever blocking the node."""

import os
import time
from typing import Any, TextIO

import msgspec

_LINES_PER_SECOND = 400.0
_BURST_LINES = 1200.0
# Writes up to this size to a pipe are whole or not done at all.
_MOST_LINE_BYTES = 4096
_NEWLINE = b'\n'


class JsonLineSink:
    """Sink for loguru; lines beyond the rate, or that a full pipe does not take, are counted.

    Parameters
    ----------
    stream
        Where lines go; made non-blocking.
    """

    def __init__(self, stream: TextIO) -> None:
        self._descriptor = stream.fileno()
        self._tokens = _BURST_LINES
        self._filled_at = time.monotonic()
        self._left_out = 0
        os.set_blocking(self._descriptor, False)

    def __call__(self, message: Any) -> None:
        """Write one record."""
        record = message.record
        now = time.monotonic()
        gained = (now - self._filled_at) * _LINES_PER_SECOND
        self._tokens = min(self._tokens + gained, _BURST_LINES)
        self._filled_at = now
        if self._tokens < 1 and record['level'].name in {'DEBUG', 'INFO'}:
            self._left_out += 1
            return
        self._tokens -= 1
        self._write(_encode(record, self._left_out))

    def _write(self, line: bytes) -> None:
        try:
            written = os.write(self._descriptor, line)
        except BlockingIOError:
            # The reader is slow; the count in the next line tells what is missing.
            written = 0
        if written:
            self._left_out = 0
        else:
            self._left_out += 1


def _encode(record: Any, left_out: int) -> bytes:
    fields = {
        'at': round(record['time'].timestamp(), 4),
        'level': record['level'].name,
        'event': record['message'],
        **record['extra'],
    }
    if left_out:
        fields['lines_left_out'] = left_out
    if record['exception'] is not None:
        fields['error'] = repr(record['exception'].value)
        fields['place'] = _place(record['exception'].traceback)
    return msgspec.json.encode(fields, enc_hook=str)[: _MOST_LINE_BYTES - 1] + _NEWLINE


def _place(traceback: Any) -> list[str]:
    places = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        places.append(f'{os.path.basename(code.co_filename)}:{traceback.tb_lineno}')
        traceback = traceback.tb_next
    return places
