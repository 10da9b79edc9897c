"""Writes what the judging functions found."""
import collections
import json

from . import rules

SHOWN = 6
LOG_LINES = 4


def log_lines(scratch, node, request):
    """The node's log lines of a request, or the last lines of its log without one."""
    path = scratch / f"{node}.log"
    if not path.exists():
        return []
    lines = path.read_text(errors="replace").splitlines()
    return [line for line in lines if f'"{request}"' in line] if request else lines[-LOG_LINES:]


def write(history, record, scratch, arguments):
    """Returns whether a rule is broken and whether there are findings or sightings worth the logs."""
    found, sightings = rules.judge(history)
    is_broken = False
    for line, findings in found.items():
        broken = rules.is_broken(line, findings)
        is_broken |= broken
        record.say(f"{'BROKEN' if broken else 'held  '} {line}: {len(findings)}{ends(history, findings)}")
        show(findings, record, scratch)
    for line, findings in sightings.items():
        record.say(f"seen   {line}: {len(findings)}{ends(history, findings)}")
        if line != "503 keeps connection":
            show(findings, record, scratch)
    record.say("summary " + json.dumps(summary(history, found, sightings, arguments)))
    return is_broken, any(found.values()) or any(sightings.values())


def ends(history, findings):
    """How the connections of the findings ended."""
    by_id = {request.id: request for request in history.requests}
    count = collections.Counter(by_id[finding.request].end for finding in findings if finding.request in by_id)
    return f" ({', '.join(f'{number} {end}' for end, number in sorted(count.items()))})" if count else ""


def show(findings, record, scratch):
    """Prints the first findings and records all, each with the node's log lines."""
    for number, finding in enumerate(findings):
        tell = record.say if number < SHOWN else record.write
        tell(f"    {finding.line} at {finding.node}: {finding.text}")
        for line in log_lines(scratch, finding.node, finding.request)[:LOG_LINES]:
            tell(f"        log: {line[:400]}")


def summary(history, found, sightings, arguments):
    """The figures of a run, for a table."""
    statuses = collections.Counter(f"{request.status}{' own' if request.is_own else ''}" if request.is_complete else request.end
                                   for request in history.requests)
    threes = collections.Counter(finding.node for finding in found["FAULT own end"])
    return {"trouble": arguments.trouble, "seed": arguments.seed, "requests": len(history.requests), "ends": dict(sorted(statuses.items())),
            "signals": dict(collections.Counter(signal.kind for signal in history.signals)), "configurations": len(history.configurations),
            "starts": len(history.lives), "machines with three own ends": sum(1 for number in threes.values() if number >= 3),
            "odd status after SIGTERM": sum(1 for life in history.lives if life.asked_kind == "term" and life.code not in (0, None)),
            "rules": {line: len(findings) for line, findings in found.items()},
            "sightings": {line: len(findings) for line, findings in sightings.items()}}
