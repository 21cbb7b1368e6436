"""Rule ONE for the calls that reach the platform's promotion address, in their order there."""
import dataclasses

LEASE_S = 3.0


@dataclasses.dataclass
class Call:
    """Times are those of the record; `closed` is when the sender had closed, if it had."""
    holder: str
    token: int
    instance: str
    sent: float
    arrived: float
    closed: float | None

    def __str__(self):
        closed = "" if self.closed is None else f", its sender closed at {self.closed:.3f}"
        return (f"promote of {self.instance} by {self.holder}, token {self.token}, sent at "
                f"{self.sent:.3f}, arrived at {self.arrived:.3f}{closed}")


class PromotionOrder:
    """Remembers each group's calls and what they broke."""

    def __init__(self):
        self.calls = {}
        self.broken = []

    def note(self, service, call):
        calls = self.calls.setdefault(service, [])
        others = [c for c in calls if c.holder != call.holder]
        self._check(service, call, "a lower token after a higher one",
                    [c for c in calls if c.token > call.token])
        self._check(service, call, "a token of two holders",
                    [c for c in others if c.token == call.token])
        self._check(service, call, f"two holders inside {LEASE_S * 1000:.0f} ms",
                    [c for c in others if call.arrived - c.arrived < LEASE_S])
        calls.append(call)

    def _check(self, service, call, rule, against):
        if against:
            self.broken.append(f"ONE: {service}: {rule}: {call} AFTER {against[-1]}")
