"""What may be sent again, or refused, once an attempt may have run; no clock and no I/O."""

from __future__ import annotations

from collections.abc import Callable

from whinrouter.interface import Effect, Pending, Scope, Server, ServerId


def repeat_by(pending: Pending) -> int | None:
    """The moment before which the last byte of another attempt has to leave; None if at any time."""
    first, kind = pending.first_unsure, pending.kind
    if first is None or kind.effect is Effect.IDEMPOTENT:
        return None
    return first.sent + (kind.dedup_window if kind.effect is Effect.KEYED else 0)


def may_go_to(server: Server, pending: Pending, listed: Callable[[ServerId], Server | None]) -> bool:
    """A keyed request stays with the servers that drop its repeats: with all that may have it, and as they
    were then and are listed now, since one that moved may have left its memory on either side."""
    if pending.kind.effect is not Effect.KEYED or pending.kind.scope is Scope.ALL:
        return True
    return all(
        _same_group(server, known, pending.kind.scope)
        for attempt in pending.unsure
        for known in (attempt.server, listed(attempt.server.id))
        if known is not None
    )


def _same_group(one: Server, other: Server, scope: Scope) -> bool:
    if scope is Scope.ZONE:
        return one.zone == other.zone != ""
    return one.cell == other.cell is not None


def may_refuse(pending: Pending, now: int) -> bool:
    """A refusal says that trying again is harmless, anywhere: past the window it would run twice."""
    by = repeat_by(pending)
    if by is None:
        return True
    return now < by and pending.kind.scope is Scope.ALL
