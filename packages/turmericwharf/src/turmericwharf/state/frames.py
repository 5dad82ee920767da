"""Parts of large frames on a connection between nodes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FramePart:
    """A piece of a large frame, which is split so that small frames can be sent between pieces.

    Parameters
    ----------
    frame
        Number of the large frame on its connection.
    place
        Index of the piece in its frame, from 0.
    last
        Whether this is the last piece of the frame.
    """

    frame: int
    place: int
    last: bool
    content: bytes
