"""What a run has recorded: requests, runs at targets, signals, starts and ends of processes. All times are seconds since the start."""
import dataclasses

# Bounds of the users' pages (SYSTEM.md).
CONTACT_S = 3.0
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
CONFIG_S = 2.0
READY_S = 10.0

UNPLANNED = ("kill", "freeze")


@dataclasses.dataclass
class Run:
    """One arrival of a request at a target. `end` is "answered", "dropped" (the connection ended during the work) or "" (at work)."""

    target: str
    at: float
    ended_at: float | None = None
    end: str = ""


@dataclasses.dataclass
class Request:
    """A request as its caller saw it. `sent_at` is set once the last byte was handed to the kernel.

    `end` says how it ended: "answered", or how its connection ended without the whole answer: "in order" (no reset followed),
    "reset", "gave up" (the caller closed it) or "unsent". `status` is that of an answer whose head was read; `is_own` says that no
    target has signed it. `is_behind_reset`: the answer was read only after a write of the caller had failed.
    `is_alone`: sent on a connection with one request at a time, whose earlier answers allowed its use.
    `closing_at`: the first of the end's arrival and the moment from which the node can have written an earlier answer of this connection that
    says `Connection: close`.
    """

    id: str
    node: str
    position: int
    began_at: float
    deadline_s: float
    timeout_s: float
    sent_at: float | None = None
    status: int = 0
    is_own: bool = False
    is_closing: bool = False
    is_complete: bool = False
    received: int = 0
    ended_at: float | None = None
    end: str = ""
    manner: str = ""
    is_begun: bool = False
    is_alone: bool = False
    is_behind_reset: bool = False
    closing_at: float | None = None
    pieces: list = dataclasses.field(default_factory=list, repr=False)
    pause_s: float = 0.0

    def limit_at(self):
        """The earlier of the caller's time limit and the route's timeout."""
        return self.began_at + min(self.deadline_s, self.timeout_s)


@dataclasses.dataclass
class Signal:
    """What was done to a node: kind is "term", "hup", "kill" or "freeze"; `until` is the end of a freeze."""

    kind: str
    node: str
    at: float
    until: float | None = None


@dataclasses.dataclass
class Life:
    """One process of a node. `asked_at` is when its end was asked for (SIGTERM or SIGKILL)."""

    node: str
    started_at: float
    ready_at: float | None = None
    asked_at: float | None = None
    asked_kind: str = ""
    ended_at: float | None = None
    code: int | None = None


@dataclasses.dataclass
class History:
    """All of a run. `configurations` holds (sent, acknowledged)."""

    requests: list = dataclasses.field(default_factory=list)
    runs: dict = dataclasses.field(default_factory=dict)
    signals: list = dataclasses.field(default_factory=list)
    lives: list = dataclasses.field(default_factory=list)
    configurations: list = dataclasses.field(default_factory=list)
    began_at: float = 0.0
    ended_at: float = 0.0

    def signals_of(self, node, *kinds):
        """The signals of these kinds at this node, in order."""
        return [signal for signal in self.signals if signal.node == node and signal.kind in kinds]

    def touches(self, node, begin, end, *kinds):
        """Whether one of these signals was in force at the node between the two moments."""
        return any(signal.at <= end and (signal.until or signal.at) >= begin for signal in self.signals_of(node, *kinds))


@dataclasses.dataclass
class Finding:
    """One thing that breaks a rule's line, or a sighting. `line` names it; `request` may be empty."""

    line: str
    node: str
    text: str
    request: str = ""
