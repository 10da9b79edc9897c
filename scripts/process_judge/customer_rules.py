"""The judging functions of the world "customers": a recorded history in, findings out. One function for each rule of
docs/design/hard_load_completion.md, section 3."""
import collections

from . import customer_history as c
from . import history as h
from . import rules

UNPLANNED = ("kill", "freeze")
EVERY_TROUBLE = ("term", "kill", "freeze", "cut")


def finding(line, history, request, text):
    key = history.keys.get(request.key)
    removed = f", key removed at {key.removed_at:.3f}" if key and key.removed_at is not None else ""
    runs = ", ".join(f"{run.target} {run.at:.3f} {run.end or 'at work'}" for run in history.runs.get(request.id, []))
    ended = "never" if request.ended_at is None else f"{request.ended_at:.3f}"
    return h.Finding(line, request.node, f"{text}: {request.id} {request.kind}, {request.credential} credential of "
                     f"{history.customer_of(request) or 'nobody'}{removed}, began {request.began_at:.3f}, ended {ended} {request.end} "
                     f"{request.status}; targets: {runs or 'none'}", request.id)


def runs_without_key(history):
    """Requests that need a key, with none that a configuration ever held, run nowhere."""
    return [finding("KEY unknown ran", history, request, "ran without a key of a customer") for request in history.requests
            if request.needs_key() and not history.customer_of(request) and history.runs_of(request)]


def wrong_fields(history):
    """A target sees `Tenant` with the holder of the key, nothing on a public route, and never `Authorization`."""
    found = []
    for request in history.requests:
        customer = history.customer_of(request)
        wanted = [customer] if request.needs_key() and customer else []
        for run in history.runs.get(request.id, []):
            if run.has_authorization:
                found.append(finding("TENANT fields", history, request, f"{run.target} saw Authorization"))
            elif run.tenants != wanted:
                found.append(finding("TENANT fields", history, request, f"{run.target} saw Tenant {run.tenants}, {wanted} wanted"))
    return found


def runs_after_removal(history):
    """A request sent later than the limit after its key was removed runs nowhere."""
    found = []
    for request in history.requests:
        key = history.keys.get(request.key)
        if not request.needs_key() or key is None or key.removed_at is None or not history.runs_of(request):
            continue
        late_s = request.began_at - key.removed_at - c.REVOCATION_LIMIT_S
        if late_s > 0:
            found.append(finding("KEY removed ran", history, request, f"sent {late_s:.3f} s after the limit"))
    return found


def runs_above_limit(history):
    """More requests of a customer run in a window than the bound allows: (all that run in it, those that were also sent in it).

    Section 3 of the page counts all that run in the window; section 1 counts those that are both sent and run in it.
    """
    first_runs = collections.defaultdict(list)
    for request in history.requests:
        customer, runs = history.customer_of(request), history.runs_of(request)
        if customer and request.needs_key() and runs:
            first_runs[customer].append((min(run.at for run in runs), request))
    all_found, sent_found = [], []
    for customer, runs in sorted(first_runs.items()):
        allowed = history.limits[customer].largest_window()
        times = sorted(at for at, _ in runs)
        all_found += window_finding("LIMIT run", customer, allowed, windows(times))
        pairs = sorted((request.began_at, at) for at, request in runs)
        sent_found += window_finding("LIMIT sent and run", customer, allowed, windows_of_pairs(pairs))
    return all_found, sent_found


def windows(times):
    """(number, beginning) of each window that begins with a run."""
    end = 0
    for begin, at in enumerate(times):
        while end < len(times) and times[end] < at + c.WINDOW_S:
            end += 1
        yield end - begin, at


def windows_of_pairs(pairs):
    """(number, beginning) of each window that begins with the sending of a request that ran."""
    for begin, (sent_at, _) in enumerate(pairs):
        number = 0
        for later_sent_at, run_at in pairs[begin:]:
            if later_sent_at >= sent_at + c.WINDOW_S:
                break
            number += run_at < sent_at + c.WINDOW_S
        yield number, sent_at


def window_finding(line, customer, allowed, counted):
    """At most one finding, for the fullest window."""
    number, at = max(counted, default=(0, 0.0))
    return [h.Finding(line, "", f"{customer}: {number} in the window from {at:.3f}, {allowed:.1f} allowed")] if number > allowed else []


def passes_reference_bucket(times, limit):
    """Whether all requests would pass one token bucket that holds a token and `burst` more."""
    capacity = 1 + limit.burst
    tokens, last = capacity, None
    for at in sorted(times):
        tokens = min(capacity, tokens + (at - last) * limit.rate) if last is not None else capacity
        last = at
        if tokens < 1:
            return False
        tokens -= 1
    return True


def customers_below(history):
    """The customers whose requests are all below their limit, each with its requests; nothing if a trouble excuses refusals."""
    if history.trouble not in c.STEADY_TROUBLES:
        return {}
    by_customer = collections.defaultdict(list)
    for request in history.requests:
        if request.needs_key() and history.customer_of(request):
            by_customer[history.customer_of(request)].append(request)
    return {customer: requests for customer, requests in by_customer.items()
            if passes_reference_bucket([request.began_at for request in requests], history.limits[customer])}


def refused_below_limit(history, status):
    """Without troubles, a customer below its limit is refused at most REFUSED_SHARE of the requests that it sends in steady state."""
    found = []
    for customer, requests in sorted(customers_below(history).items()):
        steady = [request for request in requests if request.began_at >= history.began_at]
        refused = [request for request in steady if request.status == status]
        if len(refused) > c.REFUSED_SHARE * len(steady):
            found.append(finding(f"REFUSED {status}", history, refused[0], f"{customer}: {len(refused)} of {len(steady)} refused, the first"))
    return found


def may_lack_knowledge(history, request):
    """Whether the node may have no configuration, not know whether it is the newest, or be stopping."""
    if request.began_at < history.configured_at + h.CONFIG_S:
        return True
    begin, end = request.began_at - c.REVOCATION_LIMIT_S - h.CONFIG_S, request.ended_at
    if history.touches(request.node, begin, end, *EVERY_TROUBLE):
        return True
    return any(life.node == request.node and begin <= life.started_at <= end for life in history.lives if life.started_at > history.configured_at)


def wrong_statuses(history):
    """Unknown keys get 401, or 503 from a node that may not know the newest configuration."""
    found = []
    for request in history.requests:
        if not request.needs_key() or history.customer_of(request) or not request.is_complete or request.status == 401:
            continue
        if request.status != 503 or not may_lack_knowledge(history, request):
            found.append(finding("STATUS 401", history, request, f"answered {request.status} in place of 401"))
    return found


def unauthorized_without_configuration(history):
    """A node without a configuration answers 503: nobody gets another status before the first configuration is written, and nobody with a
    key of the first configuration gets 401 before the key is removed, also from a node that was just started."""
    found = []
    for request in history.requests:
        if not request.is_complete:
            continue
        if request.ended_at < history.configured_at:
            if request.status != 503:
                found.append(finding("STATUS 503", history, request, f"answered {request.status} without a configuration"))
            continue
        key = history.keys.get(request.key)
        if request.status != 401 or not request.needs_key() or not history.customer_of(request) or not key.is_in_first_configuration:
            continue
        if key.removed_at is None or request.ended_at < key.removed_at:
            found.append(finding("STATUS 503", history, request, "401 for a key that is in force"))
    return found


def leaked_keys(history):
    return [h.Finding("KEY shown", node, f"{place}: {text}") for node, place, text in history.leaks]


def repeated_uploads(history):
    """An upload runs at most once."""
    return [finding("UPLOAD once", history, request, "ran more than once") for request in history.requests
            if request.kind == c.UPLOAD and len(history.runs_of(request)) > 1]


def changed_uploads(history):
    """A target that runs an upload has received exactly the bytes that were sent."""
    return [finding("UPLOAD bytes", history, request, "ran with other bytes") for request in history.requests
            if request.kind == c.UPLOAD and any(run.digest != request.digest for run in history.runs_of(request))]


def lost_uploads(history):
    """A planned shutdown leaves no upload without an answer: (those that were passed on, those that the node was still receiving).

    Excused are uploads on which a target works in the last sixth of the grace time, and those that are received that long.
    """
    passed_on, received = [], []
    for request in history.requests:
        if request.kind != c.UPLOAD or request.is_complete or request.end not in ("in order", "reset"):
            continue
        if history.touches(request.node, request.began_at - h.CONTACT_S, request.ended_at, *UNPLANNED):
            continue
        if request.ended_at >= request.began_at + request.deadline_s - rules.SAME_MOMENT_S:
            continue
        terms = [signal for signal in history.signals_of(request.node, "term") if signal.at <= request.ended_at <= signal.at + h.GRACE_S + 1]
        if not terms:
            continue
        after_s = request.ended_at - terms[-1].at
        if any(run.end != "declined" for run in history.runs.get(request.id, [])):
            if not rules.works_late(history, request, terms[-1].at):
                passed_on.append(finding("UPLOAD lost", history, request, f"lost {after_s:.3f} s after SIGTERM"))
        elif request.began_at <= terms[-1].at - h.LOSS_SLACK_S and after_s < h.GRACE_S * 5 / 6:
            received.append(finding("UPLOAD cut", history, request, f"cut {after_s:.3f} s after SIGTERM"))
    return passed_on, received


def judge(history):
    """All findings by line. One finding breaks its rule."""
    limit_run, limit_sent_and_run = runs_above_limit(history)
    lost, cut = lost_uploads(history)
    return {"KEY unknown ran": runs_without_key(history), "TENANT fields": wrong_fields(history), "KEY removed ran": runs_after_removal(history),
            "LIMIT run": limit_run, "LIMIT sent and run": limit_sent_and_run, "REFUSED 429": refused_below_limit(history, 429),
            "REFUSED 503": refused_below_limit(history, 503), "STATUS 401": wrong_statuses(history),
            "STATUS 503": unauthorized_without_configuration(history), "UPLOAD once": repeated_uploads(history),
            "UPLOAD bytes": changed_uploads(history), "UPLOAD lost": lost, "UPLOAD cut": cut, "FAULT own end": rules.own_ends(history),
            "FAULT not ready": rules.slow_starts(history), "FAULT did not end": rules.slow_ends(history), "KEY shown": leaked_keys(history)}
