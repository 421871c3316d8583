"""Ports that stay free while whatever listens there is down."""

import atexit
import random
import socket

_PORT_RANGE = (12_000, 30_000)
_BLOCK_PORTS = 500
# More than the nodes and links of a seed need. Then those of earlier seeds are reused.
_MAX_PORTS = 1_000
# The ports of the blocks that this process has taken, by whether they have been used.
_unused, _used = [], []


def free_ports(count):
    """Return free ports for a node or a link.

    The port above each of them is free too; the node serves metrics there. They lie
    below the ephemeral ports, so that an outgoing connection of a caller does not get
    the port of a node that is down, and in blocks that no other process takes.
    """
    ports = []
    while len(ports) < count:
        if not _unused:
            _add_unused()
        port = _unused.pop()
        _used.append(port)
        if _is_free(port) and _is_free(port + 1):
            ports.append(port)
    return ports


def _add_unused():
    if len(_used) < _MAX_PORTS:
        _unused.extend(_take_block())
    else:
        _unused.extend(reversed(_used))
        _used.clear()


def _take_block():
    """Return the ports of a block; its first port stays bound while this process runs.

    A port that is only probed may be another process's by the time the node starts.
    """
    starts = range(*_PORT_RANGE, _BLOCK_PORTS)
    for first in random.sample(starts, len(starts)):
        owner = socket.socket()
        try:
            owner.bind(("127.0.0.1", first))
        except OSError:
            owner.close()
            continue
        atexit.register(owner.close)
        return list(range(first + 2, first + _BLOCK_PORTS, 2))
    raise OSError("all blocks of ports are taken")


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
