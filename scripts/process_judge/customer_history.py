"""What a run of the world "customers" has recorded. All times are seconds since the start."""
import dataclasses

from . import history as h

# Bounds of docs/design/hard_load_completion.md, sections 1 to 3.
REVOCATION_LIMIT_S = 5.0
WINDOW_S, OVERSHOOT, SLACK = 5.0, 0.1, 20
REFUSED_SHARE = 0.01
STEADY_TROUBLES = ("none", "hot")

UPLOAD, PUBLIC = "upload", "public"
# A caller that gives a credential of one of the other kinds holds no key of a customer.
VALID_CREDENTIAL = "valid"


@dataclasses.dataclass
class Key:
    """`removed_at` is when the store acknowledged the version without the key."""

    customer: str
    is_in_first_configuration: bool = True
    removed_at: float | None = None


@dataclasses.dataclass
class Limit:
    """A customer's request limit, which stays the same during a run."""

    rate: float
    burst: float

    def largest_window(self):
        """How many requests may run in any window of WINDOW_S."""
        return (self.rate * WINDOW_S + self.burst) * (1 + OVERSHOOT) + SLACK


@dataclasses.dataclass
class CustomerRun:
    """One arrival of a request at a target. `is_run`: the target accepted the request and received its whole body.

    `tenants` holds the values of all fields `Tenant`. `end` is "answered", "declined", "dropped" or "" (at work).
    """

    target: str
    at: float
    tenants: list = dataclasses.field(default_factory=list)
    has_authorization: bool = False
    is_run: bool = False
    digest: str = ""
    ended_at: float | None = None
    end: str = ""


@dataclasses.dataclass
class CustomerRequest:
    """A request as its caller saw it. `began_at` is taken before the first byte is sent, `sent_at` after the last one.

    `credential` is "valid" for a key that a configuration holds or held. `kind` is "lookup", "approve", "upload" or "public".
    `end` is "answered", or how the connection ended without a whole answer: "in order", "reset", "gave up" or "unsent".
    """

    id: str
    node: str
    kind: str
    key: str
    credential: str
    began_at: float
    deadline_s: float
    digest: str = ""
    sent_at: float | None = None
    status: int = 0
    is_own: bool = False
    is_complete: bool = False
    ended_at: float | None = None
    end: str = ""

    def needs_key(self):
        return self.kind != PUBLIC


@dataclasses.dataclass
class CustomerHistory(h.History):
    """`configured_at` is when the first configuration was written. `leaks` holds (node, place, text without the key)."""

    trouble: str = "none"
    configured_at: float = 0.0
    keys: dict = dataclasses.field(default_factory=dict)
    limits: dict = dataclasses.field(default_factory=dict)
    leaks: list = dataclasses.field(default_factory=list)

    def customer_of(self, request):
        """The customer that holds the key of the request, or nothing."""
        if request.credential != VALID_CREDENTIAL or request.key not in self.keys:
            return ""
        return self.keys[request.key].customer

    def runs_of(self, request):
        """The arrivals of the request that ran."""
        return [run for run in self.runs.get(request.id, []) if run.is_run]
