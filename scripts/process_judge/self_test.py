"""Recorded histories that break each line of the rules, and such that are close and excused."""
import dataclasses

from . import history as h
from . import rules

NODE = "edge-a-1"


def request(name, began_at, ended_at, end="reset", **more):
    """A request of a kept connection, sent whole at once, that ends without an answer unless `more` says otherwise."""
    values = {"id": name, "node": NODE, "position": 2, "began_at": began_at, "deadline_s": 20.0, "timeout_s": 20.0, "sent_at": began_at,
              "ended_at": ended_at, "end": end, **more}
    return h.Request(**values)


def history(requests=(), runs=None, signals=(), lives=None, configurations=()):
    """A run of 60 s with one node that has been ready for long, unless `lives` says otherwise."""
    return h.History(list(requests), runs or {}, list(signals), lives or [h.Life(NODE, -100.0, -99.0)], list(configurations), 0.0, 60.0)


def at_work(at, until=None, end="dropped"):
    """Runs of one target."""
    return [h.Run("i-1", at, until, end if until is not None else "")]


def own_answer(status=504):
    return {"end": "answered", "status": status, "is_own": True, "is_complete": True}


def term(at=20.0):
    return h.Signal("term", NODE, at)


def ended(at, **more):
    return dataclasses.replace(h.Life(NODE, 10.0, 10.5), ended_at=at, code=1, **more)


def lost_in_touch(number, signals=(), lives=None, **more):
    """So many requests of a kept connection that were passed on and lost at 20 s."""
    requests = [request(f"r{index}", 19.0, 20.0, **more) for index in range(number)]
    return history(requests, {entry.id: at_work(19.1, 20.0) for entry in requests}, signals, lives)


def stopped(began_at, ended_at, run_from=None, run_until=None, signal=None, run_end="dropped", **more):
    """One request beside a SIGTERM at 20 s."""
    runs = {"r": at_work(run_from, run_until, run_end)} if run_from is not None else {}
    return history([request("r", began_at, ended_at, **more)], runs, [signal or term()])


def cuts_at_configuration(inside, outside, used=0.1):
    """Requests cut within a configuration's span, 10 to 13 s, and in the 57 s beside it."""
    requests = [request(f"i{index}", 11.0 - 10 * used, 11.0, deadline_s=10.0) for index in range(inside)]
    requests += [request(f"o{index}", 40.0, 40.3) for index in range(outside)]
    return history(requests, {entry.id: at_work(entry.began_at + 0.01, entry.ended_at) for entry in requests}, configurations=[(10.0, 10.0)])


def cases():
    """(what it shows, the line, how many findings, the history)."""
    kill, hup, freeze = h.Signal("kill", NODE, 18.0), h.Signal("hup", NODE, 19.5), h.Signal("freeze", NODE, 15.0, 17.5)
    new_life = [h.Life(NODE, -100.0, -99.0, 10.0, "term", 15.0, 0), h.Life(NODE, 17.5, 18.0)]
    return [
        ("an end by itself", "FAULT own end", 1, history(lives=[ended(15.0)])),
        ("an end by a SIGHUP 5 ms after a start", "FAULT own end", 1, history(signals=[h.Signal("hup", NODE, 10.005)], lives=[ended(10.01)])),
        ("an end 0.9 s after a kill", "FAULT own end", 0, history(signals=[h.Signal("kill", NODE, 14.1)], lives=[ended(15.0)])),
        ("an end 1.1 s after a kill", "FAULT own end", 1, history(signals=[h.Signal("kill", NODE, 13.9)], lives=[ended(15.0)])),
        ("an end 0.9 s after the end of a freeze", "FAULT own end", 0, history(signals=[h.Signal("freeze", NODE, 12, 14.1)], lives=[ended(15.0)])),
        ("an end that was asked for", "FAULT own end", 0, history(lives=[ended(15.0, asked_at=12.0, asked_kind="term")])),
        ("not ready for 10 s", "FAULT not ready", 1, history(lives=[h.Life(NODE, 10.0)])),
        ("ready after 10.1 s", "FAULT not ready", 1, history(lives=[h.Life(NODE, 10.0, 20.1)])),
        ("ready after 9.9 s", "FAULT not ready", 0, history(lives=[h.Life(NODE, 10.0, 19.9)])),
        ("stopped before it was ready", "FAULT not ready", 0, history(lives=[h.Life(NODE, 10.0, None, 15.0, "term", 16.0, 0)])),
        ("killed after grace_s", "FAULT did not end", 1, history(lives=[h.Life(NODE, 0.0, 1.0, 20.0, "term", 26.0, -9)])),
        ("ended in grace_s", "FAULT did not end", 0, history(lives=[h.Life(NODE, 0.0, 1.0, 20.0, "term", 25.9, 0)])),
        ("four lost", "LOST 1", 4, lost_in_touch(4)),
        ("lost 2.9 s after a kill", "LOST 1", 0, lost_in_touch(4, [kill])),
        ("lost beside a SIGHUP", "LOST 1", 4, lost_in_touch(4, [hup])),
        ("lost less than contact_s after a start", "LOST 1", 0, lost_in_touch(4, lives=new_life)),
        ("lost on new connections", "LOST 1", 0, lost_in_touch(4, position=1)),
        ("the caller gave up", "LOST 1", 0, lost_in_touch(4, end="gave up")),
        ("not passed on", "LOST 1", 0, history([request("r", 19.0, 20.0)])),
        ("passed on and cut 4 s after SIGTERM", "LOST 2 passed on", 1, stopped(21.0, 24.0, 21.1, 24.0)),
        ("passed on, cut 7.1 s after SIGTERM", "LOST 2 passed on", 0, stopped(26.0, 27.1, 26.1, 27.1)),
        ("the target had answered", "LOST 2 passed on", 1, stopped(21.0, 24.0, 21.1, 23.0, run_end="answered")),
        ("at work in the last sixth", "LOST 2 passed on", 0, stopped(21.0, 25.5, 21.1, 25.5)),
        ("at work in the last sixth, sent 3.1 s after SIGTERM", "LOST 2 passed on", 1, stopped(23.1, 25.5, 23.2, 25.5)),
        ("cut just before the last sixth", "LOST 2 passed on", 1, stopped(21.0, 24.9, 21.1, 24.9)),
        ("the time limit was reached", "LOST 2 passed on", 0, stopped(21.0, 24.0, 21.1, 24.0, deadline_s=3.0)),
        ("the route's timeout was reached", "LOST 2 passed on", 0, stopped(21.0, 24.0, 21.1, 24.0, timeout_s=2.5)),
        ("part of an answer", "LOST 2 passed on", 1, stopped(21.0, 24.0, 21.1, 22.0, run_end="answered", status=200, received=500)),
        ("not sent whole", "LOST 2 passed on", 0, stopped(21.0, 24.0, 21.1, 24.0, sent_at=None)),
        ("read and dropped", "LOST 2 read", 1, stopped(21.0, 21.5, end="in order")),
        ("sent 0.19 s before the end", "LOST 2 read", 0, stopped(21.0, 21.19, end="in order")),
        ("sent 0.3 s before a closing answer, read and dropped", "LOST 2 read", 1, stopped(21.0, 22.0, end="in order", closing_at=21.3)),
        ("sent 0.1 s before a closing answer", "LOST 2 read", 0, stopped(21.0, 22.0, end="in order", closing_at=21.1)),
        ("sent 0.1 s before a closing answer", "read across a close", 1, stopped(21.0, 22.0, end="in order", closing_at=21.1)),
        ("not read, as a reset tells", "LOST 2 read", 0, stopped(21.0, 21.5)),
        ("perhaps read before a reset", "may have been read", 1, stopped(21.0, 21.5)),
        ("a slow reader whose process ended 0.1 s after the request", "may have been read", 0,
         history([request("r", 21.0, 23.0)], signals=[term()], lives=[h.Life(NODE, 0.0, 1.0, 20.0, "term", 21.1, 0)])),
        ("a freeze 2.5 s before", "LOST 2 passed on", 0, history([request("r", 20.0, 24.0)], {"r": at_work(20.1, 24.0)}, [freeze, term()])),
        ("a freeze 3.5 s before", "LOST 2 passed on", 1, history([request("r", 21.0, 24.0)], {"r": at_work(21.1, 24.0)}, [freeze, term()])),
        ("cut after a SIGHUP, sent 1.9 s after it", "LOST 2 passed on", 1, stopped(21.4, 24.0, 21.5, 24.0, signal=hup)),
        ("sent 2.1 s after a SIGHUP", "LOST 2 passed on", 0, stopped(21.6, 24.0, 21.7, 24.0, signal=hup)),
        ("cut before a SIGHUP", "LOST 2 passed on", 0, stopped(18.0, 19.4, 18.1, 19.4, signal=hup)),
        ("cut at a configuration, never else", "LOST 2 passed on", 1, cuts_at_configuration(1, 0)),
        ("cut as often at other times", "LOST 2 passed on", 0, cuts_at_configuration(1, 19)),
        ("cut four times as often at a configuration", "LOST 2 passed on", 4, cuts_at_configuration(4, 19)),
        ("cut at a configuration when most of the time was used", "LOST 2 passed on", 0, cuts_at_configuration(1, 0, 0.75)),
        ("an answer in place of a working target's", "LOST 3", 1, stopped(21.0, 24.0, 21.1, 24.0, **own_answer())),
        ("the target had ended its work", "LOST 3", 0, stopped(21.0, 24.0, 21.1, 23.0, **own_answer())),
        ("replaced in the last sixth", "LOST 3", 0, stopped(21.0, 25.1, 21.1, 25.1, **own_answer())),
        ("replaced in the last sixth, sent late", "LOST 3", 1, stopped(23.5, 25.1, 23.6, 25.1, **own_answer())),
        ("replaced at the time limit", "LOST 3", 0, stopped(21.0, 24.0, 21.1, 24.0, deadline_s=3.0, **own_answer())),
        ("replaced without a SIGTERM", "LOST 3", 0, history([request("r", 21.0, 24.0, **own_answer())], {"r": at_work(21.1, 24.0)})),
        ("one at a time, reset behind an answer", "LOST one at a time", 1, stopped(21.0, 21.05, is_alone=True)),
        ("one at a time, ended in order behind an answer", "LOST one at a time", 1, stopped(21.0, 21.5, end="in order", is_alone=True)),
        ("one at a time, on a new connection", "LOST one at a time", 0, stopped(21.0, 21.05, position=1, is_alone=True)),
        ("one at a time, after a kill", "LOST one at a time", 0, stopped(21.0, 21.05, signal=kill, is_alone=True)),
        ("several at a time", "LOST one at a time", 0, stopped(21.0, 21.05)),
        ("one at a time, the time limit was reached", "LOST one at a time", 0, stopped(21.0, 24.0, deadline_s=3.0, is_alone=True)),
        ("one at a time, answered", "LOST one at a time", 0, stopped(21.0, 24.0, is_alone=True, **own_answer())),
        ("a finished answer was destroyed", "answer destroyed", 1, stopped(21.0, 24.0, 21.1, 23.0, run_end="answered")),
        ("a whole answer behind a reset", "answer behind a reset", 1,
         stopped(21.0, 24.0, 21.1, 23.0, run_end="answered", end="answered", status=200, is_complete=True, is_behind_reset=True)),
        ("a refusal behind a reset", "answer behind a reset", 0, stopped(21.0, 24.0, is_behind_reset=True, **own_answer(503))),
        ("a whole answer", "answer behind a reset", 0,
         stopped(21.0, 24.0, 21.1, 23.0, run_end="answered", end="answered", status=200, is_complete=True)),
        ("a refusal that keeps the connection", "503 keeps connection", 1, history(
            [request("r", 23.0, 23.1, **own_answer(503))], lives=[h.Life(NODE, 0.0, 1.0, 20.0, "term", 25.5, 0)])),
        ("a refusal that closes it", "503 keeps connection", 0, history(
            [request("r", 23.0, 23.1, is_closing=True, **own_answer(503))], lives=[h.Life(NODE, 0.0, 1.0, 20.0, "term", 25.5, 0)])),
        ("a refusal of the next process", "503 keeps connection", 0, history(
            [request("r", 26.0, 26.1, **own_answer(503))], lives=[h.Life(NODE, 0.0, 1.0, 20.0, "term", 25.5, 0), h.Life(NODE, 25.7, 26.0)])),
    ]


def run():
    """Returns the exit code."""
    failed = 0
    for text, line, wanted, recorded in cases():
        found, sightings = rules.judge(recorded)
        number = len({**found, **sightings}[line])
        if number != wanted:
            failed += 1
            print(f"FAILED {line}: {text}: {number} findings, {wanted} wanted")
    for line, number, wanted in (("LOST 1", 3, False), ("LOST 1", 4, True), ("LOST 3", 1, True), ("FAULT own end", 1, True)):
        if rules.is_broken(line, [None] * number) != wanted:
            failed += 1
            print(f"FAILED {line}: {number} findings {'break' if wanted else 'do not break'} the rule")
    print(f"{len(cases())} histories, {failed} failed")
    return 1 if failed else 0
