"""Finds the software version at which a stream began, so that it goes on at that one.

What replicas of two software versions write does not fit together, and replicas do not
check it. A node that takes up a stream therefore has to know its version.
"""

from ._began import Began, StreamOrigin, UnknownStream
from ._holders import choose_holders
from ._rows import SoftwareRows, is_software_row
from ._starts import StreamStarts, stream_key
from ._stored import StoredVersions
from ._task import StreamTask
from ._versions import SoftwareVersions

__all__ = [
    "Began",
    "SoftwareRows",
    "SoftwareVersions",
    "StoredVersions",
    "StreamOrigin",
    "StreamStarts",
    "StreamTask",
    "UnknownStream",
    "choose_holders",
    "is_software_row",
    "stream_key",
]
