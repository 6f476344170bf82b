"""A machine stops while the transaction that starts a task on it is carried out late. See claim.txt."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from stand_ins import Deployment, LATE_FOR_S, Record, job, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")  # 0: none; late, stop: only one of the two
WAITING_S = 90.0  # of the page: no job is left waiting for 90 s while a machine that fits has room
GRANDE = ["grande"]
HELD, BROKEN, NOT_RUN = 0, 1, 2


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    deployment = Deployment(record, [("grande", "palermo"), ("grande", "palermo"), ("mediano", "palermo"), ("mediano", "palermo"),
                                     ("mediano", "cordoba")])
    try:
        return run(deployment, record)
    finally:
        deployment.stop()


def tasks_on(worker):
    with worker.lock:
        return [piece for (piece, _), task in worker.tasks.items() if task["status"] != "exited"]


def has_room(worker, spec):
    with worker.lock:
        held = [task["job"] for task in worker.tasks.values() if task["status"] != "exited"]
    return not worker.ended and all(sum(j[kind] for j in held) + spec[kind] <= worker.flavor[kind] for kind in ("cores", "ramGb"))


def wait_for(condition, within_s):
    until = now() + within_s
    while not condition():
        if now() > until:
            return False
        time.sleep(0.05)
    return True


def run(deployment, record):
    if not deployment.wait_until_serving(15):
        record("no controller serves")
        return NOT_RUN
    time.sleep(6)  # until the controllers have agreed on the form of what they store
    workers = deployment.cloud.workers
    grandes = [workers["m-000001"], workers["m-000002"]]
    # A replica on one of the two `grande` machines, and a job that fills the other for some seconds.
    replica = job("j-000001", jobClass="visor", owner="curaduria", shape="service", rank="prod", hostKinds=GRANDE, expectedS=0.0, runS=None)
    filling = job("j-000002", owner="modelos", cores=32.0, ramGb=10.0, hostKinds=GRANDE, expectedS=8.0, runS=8.0)
    for spec in (replica, filling):
        if deployment.submit(spec, 20) not in (200, 201):
            return NOT_RUN
        if not wait_for(lambda: any(p.startswith(spec["uid"]) for w in grandes for p in tasks_on(w)), 10):
            record(f"{spec['uid']} does not start")
            return NOT_RUN
    stopping = next(w for w in grandes if tasks_on(w) == ["j-000001/0"])
    other = next(w for w in grandes if w is not stopping)
    time.sleep(1.0)
    # Now the job of this case: the other machine is full, so it is for the machine that stops.
    if TROUBLE in ("1", "late"):
        deployment.state.late_after_next = True
    waiting = job("j-000003", cores=4.0, ramGb=4.0, hostKinds=GRANDE, expectedS=3.0, runS=3.0)
    if deployment.submit(waiting, 20) not in (200, 201):
        return NOT_RUN
    troubled_at = now()
    if TROUBLE in ("1", "stop"):
        time.sleep(0.5)
        record(f"{stopping.name}: the machine stops; the cloud goes on listing it as running")
        stopping.end()
    while now() < troubled_at + LATE_FOR_S:
        time.sleep(0.1)
    record("all troubles are over")
    room_since = None
    while True:
        if waiting["uid"] in deployment.ran:
            record("the rule held: j-000003 was started")
            return HELD
        if not has_room(other, waiting):
            room_since = None
        elif room_since is None:
            room_since = now()
            record(f"{other.name} has room for j-000003")
        if room_since and now() - room_since > WAITING_S:
            record(f"RULE BROKEN: j-000003 was accepted and never started, {deployment.poll('j-000003')}; {other.name} (grande, 32 CPUs, "
                   f"64 GB) has had room for it for {now() - room_since:.0f} s, with {tasks_on(other)} on it, and its team uses nothing")
            return BROKEN
        if now() - troubled_at > 105:
            return NOT_RUN
        deployment.poll("j-000003")
        time.sleep(1)


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception as error:  # a fault of the test, not of the service
        print(f"{type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(NOT_RUN)
