"""The current addresses of nodes, where the list of nodes may be behind."""

from fireflyward.aggregators import Member

Address = tuple[str, int]


class MemberAddresses:
    """Addresses that nodes told about themselves; no I/O.

    A node that starts anew may have another address. It tells its address some seconds
    before the others read it in the list of nodes. An address that was told counts
    until the list has another one than at that moment.

    >>> addresses = MemberAddresses()
    >>> old = Member("a", "d1", ("10.0.0.1", 7), 100.0)
    >>> addresses.on_told("a", ("10.0.0.2", 7), old)
    >>> addresses.of(old), addresses.of(Member("a", "d1", ("10.0.0.3", 7), 100.0))
    (('10.0.0.2', 7), ('10.0.0.3', 7))
    """

    __slots__ = ("_told_by_name",)

    def __init__(self) -> None:
        # The address that a node told, and the listed one at that moment.
        self._told_by_name: dict[str, tuple[Address, Address | None]] = {}

    def on_told(self, name: str, address: Address, listed: Member | None) -> None:
        """Record the address of a node, and how it is listed, if it is."""
        known = None if listed is None else listed.address
        if address == known:
            self._told_by_name.pop(name, None)
        else:
            self._told_by_name[name] = (address, known)

    def of(self, member: Member) -> Address:
        """Return the address of a listed node."""
        told, known = self._told_by_name.get(member.name, (member.address, None))
        return told if known == member.address else member.address
