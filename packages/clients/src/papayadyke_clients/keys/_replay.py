"""Refusal of messages that were received before, in bounded memory."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Stamp:
    """What makes a message unlike every other message of the cell.

    Parameters
    ----------
    sender : str
        Name of the process that sent it. Processes that run at the same time
        have unlike names.
    incarnation : int
        Grows with each start of the sender, for example nanoseconds of Unix
        time at the start.
    sequence : int
        Grows with each message of the incarnation.
    sent_unix_s : float
    """

    sender: str
    incarnation: int
    sequence: int
    sent_unix_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplaySettings:
    """Limits of a replay guard.

    Parameters
    ----------
    max_skew_s : float, default=30.0
        Most by which the time of a message may differ from that of the receiver.
    reorder : int, default=8192
        Messages of one sender that may overtake one another.
    max_senders : int, default=4096
        Senders that are remembered at a time.
    """

    max_skew_s: float = 30.0
    reorder: int = 8192
    max_senders: int = 4096


@dataclass(slots=True)
class _Sender:
    incarnation: int
    highest: int
    seen: int
    last_unix_s: float


class ReplayGuard:
    """Remembers which messages came, and accepts each at most once.

    A sender is forgotten only when every message of it would be too old by its
    time; where the memory is full of fresher ones, a new sender is refused.
    Messages from before the start of the guard are refused, because an earlier
    guard of this process may have accepted them.

    Parameters
    ----------
    settings : ReplaySettings
    started_unix_s : float
        Time of the start of the process.
    """

    def __init__(self, settings: ReplaySettings, *, started_unix_s: float) -> None:
        self.settings = settings
        self.started_unix_s = started_unix_s
        self._senders: OrderedDict[str, _Sender] = OrderedDict()

    def __len__(self) -> int:
        return len(self._senders)

    def accept(self, stamp: Stamp, *, unix_s: float) -> bool:
        """Tell whether a genuine message is new, and remember it.

        Call it only for a message whose signature has been verified.
        """
        if not self._is_timely(stamp, unix_s):
            return False
        sender = self._senders.get(stamp.sender)
        if sender is None:
            return self._add(stamp, unix_s)
        if stamp.incarnation < sender.incarnation:
            return False
        if stamp.incarnation > sender.incarnation:
            sender.incarnation = stamp.incarnation
            sender.highest = stamp.sequence
            sender.seen = 1
        elif not _mark(sender, stamp.sequence, self.settings.reorder):
            return False
        sender.last_unix_s = max(sender.last_unix_s, unix_s)
        self._senders.move_to_end(stamp.sender)
        return True

    def _is_timely(self, stamp: Stamp, unix_s: float) -> bool:
        skew_s = abs(unix_s - stamp.sent_unix_s)
        fresh = skew_s <= self.settings.max_skew_s
        return fresh and stamp.sent_unix_s >= self.started_unix_s

    def _add(self, stamp: Stamp, unix_s: float) -> bool:
        if len(self._senders) >= self.settings.max_senders:
            oldest = next(iter(self._senders.values()))
            # A message accepted at its receipt may be stamped `max_skew_s` later.
            if unix_s - oldest.last_unix_s <= 2 * self.settings.max_skew_s:
                return False
            self._senders.popitem(last=False)
        self._senders[stamp.sender] = _Sender(
            stamp.incarnation, stamp.sequence, 1, unix_s
        )
        return True


def _mark(sender: _Sender, sequence: int, reorder: int) -> bool:
    """Mark a sequence number as seen; False where it was, or is too far back."""
    ahead = sequence - sender.highest
    if ahead > 0:
        shift = min(ahead, reorder)
        sender.seen = ((sender.seen << shift) | 1) & ((1 << reorder) - 1)
        sender.highest = sequence
        return True
    if -ahead >= reorder:
        return False
    bit = 1 << -ahead
    if sender.seen & bit:
        return False
    sender.seen |= bit
    return True
