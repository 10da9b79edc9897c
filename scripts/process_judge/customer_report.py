"""Writes what the judging functions of the world "customers" found."""
import collections
import json

import stand_ins as s

from . import customer_history as c
from . import customer_rules
from .report import show


def sent_after_limit(history):
    """Requests with a removed key that no node may run any more."""
    return [request for request in history.requests
            if request.needs_key() and request.credential == c.VALID_CREDENTIAL and (key := history.keys.get(request.key))
            and key.removed_at is not None and request.began_at > key.removed_at + c.REVOCATION_LIMIT_S]


def missing(history, metrics_pages):
    """What the play lacks, so that a rule would hold without having been tried; empty if nothing."""
    served = [request for request in history.requests if request.status == 200]
    needs = {"requests served": served, "metrics pages": metrics_pages,
             "uploads served": [request for request in served if request.kind == c.UPLOAD],
             "requests on public routes served": [request for request in served if not request.needs_key()],
             "answers 401": [request for request in history.requests if request.status == 401],
             "answers before the configuration": [request for request in history.requests
                                                  if request.is_complete and request.ended_at < history.configured_at]}
    if history.trouble in ("revoke", "mixed"):
        needs["requests with a removed key after the limit"] = sent_after_limit(history)
    if history.trouble in c.STEADY_TROUBLES:
        needs["customers below their limit"] = customer_rules.customers_below(history)
    return ", ".join(name for name, found in needs.items() if not found)


def write(history, record, scratch, arguments, metrics_pages):
    """Returns whether a rule is broken and whether there are findings worth the logs."""
    if lacking := missing(history, metrics_pages):
        raise s.CannotRun(f"nothing is judged without {lacking}")
    found = customer_rules.judge(history)
    for line, findings in found.items():
        record.say(f"{'BROKEN' if findings else 'held  '} {line}: {len(findings)}")
        show(findings, record, scratch)
    record.say("summary " + json.dumps(summary(history, found, arguments, metrics_pages)))
    is_broken = any(found.values())
    return is_broken, is_broken


def summary(history, found, arguments, metrics_pages):
    """The figures of a run, for a table."""
    steady = [request for request in history.requests if request.began_at >= history.began_at]
    by_customer = {}
    for name, limit in history.limits.items():
        own = [request for request in steady if request.needs_key() and history.customer_of(request) == name]
        runs = sorted(min(run.at for run in history.runs_of(request)) for request in own if history.runs_of(request))
        fullest = max((number for number, _ in customer_rules.windows(runs)), default=0)
        by_customer[name] = {"sent": len(own), "status": counted(own), "fullest window": fullest, "allowed": round(limit.largest_window(), 1)}
    return {"trouble": arguments.trouble, "seed": arguments.seed, "requests": len(history.requests), "metrics pages": metrics_pages,
            "without a key": counted([request for request in history.requests if request.needs_key() and not history.customer_of(request)]),
            "public": counted([request for request in steady if not request.needs_key()]),
            "before the configuration": counted([request for request in history.requests if request.ended_at < history.configured_at]),
            "uploads that ran": sum(1 for request in history.requests if request.kind == c.UPLOAD and history.runs_of(request)),
            "removed keys": sum(1 for key in history.keys.values() if key.removed_at), "sent after the limit": counted(sent_after_limit(history)),
            "below their limit": sorted(customer_rules.customers_below(history)), "customers": by_customer,
            "signals": dict(collections.Counter(signal.kind for signal in history.signals)), "starts": len(history.lives),
            "rules": {line: len(findings) for line, findings in found.items()}}


def counted(requests):
    """How many requests ended in which way."""
    return dict(sorted(collections.Counter(str(request.status) if request.is_complete else request.end for request in requests).items()))
