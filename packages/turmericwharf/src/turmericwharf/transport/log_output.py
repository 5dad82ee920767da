"""Log output as JSON lines that never blocks the node."""

import os
import time
from typing import Any, TextIO

import msgspec

_MAX_LINES_PER_SECOND = 400.0
_MAX_BURST_LINES = 1200.0
# Writes to a pipe of at most this size are atomic.
_MAX_LINE_BYTES = 4096
_NEWLINE = b'\n'


class JsonLineSink:
    """Sink for loguru that drops and counts lines above the rate limit or on a full pipe.

    The rate limit drops only lines of the levels DEBUG and INFO.

    Parameters
    ----------
    stream
        Output stream; its file descriptor is set to non-blocking mode.
    """

    def __init__(self, stream: TextIO) -> None:
        self._descriptor = stream.fileno()
        self._tokens = _MAX_BURST_LINES
        self._refilled_at = time.monotonic()
        self._dropped_lines = 0
        os.set_blocking(self._descriptor, False)

    def __call__(self, message: Any) -> None:
        """Write one record."""
        record = message.record
        now = time.monotonic()
        refill = (now - self._refilled_at) * _MAX_LINES_PER_SECOND
        self._tokens = min(self._tokens + refill, _MAX_BURST_LINES)
        self._refilled_at = now
        if self._tokens < 1 and record['level'].name in {'DEBUG', 'INFO'}:
            self._dropped_lines += 1
            return
        self._tokens -= 1
        self._write(_encode(record, self._dropped_lines))

    def _write(self, line: bytes) -> None:
        try:
            written = os.write(self._descriptor, line)
        except BlockingIOError:
            # The pipe is full because its reader is slow. The next line written reports the number
            # of dropped lines.
            written = 0
        if written:
            self._dropped_lines = 0
        else:
            self._dropped_lines += 1


def _encode(record: Any, dropped_lines: int) -> bytes:
    fields = {
        'at': round(record['time'].timestamp(), 4),
        'level': record['level'].name,
        'event': record['message'],
        **record['extra'],
    }
    if dropped_lines:
        fields['lines_left_out'] = dropped_lines
    if record['exception'] is not None:
        fields['error'] = repr(record['exception'].value)
        fields['place'] = _format_traceback(record['exception'].traceback)
    return msgspec.json.encode(fields, enc_hook=str)[: _MAX_LINE_BYTES - 1] + _NEWLINE


def _format_traceback(traceback: Any) -> list[str]:
    frames = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        frames.append(f'{os.path.basename(code.co_filename)}:{traceback.tb_lineno}')
        traceback = traceback.tb_next
    return frames
