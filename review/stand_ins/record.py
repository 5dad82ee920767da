"""Record of what was sent, answered and run, on one clock."""

import dataclasses
import time
from pathlib import Path


@dataclasses.dataclass(frozen=True)
class Event:
    """Something that a client, a server or the platform saw, in seconds since the start."""

    at: float
    name: str
    fields: dict


class Record:
    """Events of one case; also written to a file, one a line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._started_at = time.monotonic()
        self.events: list[Event] = []

    def now(self) -> float:
        return time.monotonic() - self._started_at

    def add(self, name: str, **fields: object) -> Event:
        event = Event(self.now(), name, fields)
        self.events.append(event)
        text = ' '.join(f'{key}={value}' for key, value in fields.items())
        self._file.write(f'{event.at:8.3f} {name} {text}\n')
        self._file.flush()
        return event

    def select(self, name: str, **fields: object) -> list[Event]:
        return [
            event
            for event in self.events
            if event.name == name
            and all(event.fields.get(key) == value for key, value in fields.items())
        ]
