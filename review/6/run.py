"""A job waits for over 90 s beside a machine that is idle and fits, because a gang holds that machine for later."""
import os
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
from standins import LIENZO, CaseError, Deployment, job, main, now  # noqa: E402

BOUND_S = 90.0  # "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit"
RUN_S = 104.0   # of the task whose estimate is wrong


def body(trouble):
    teams = LIENZO["teams"] + [{"name": "grupo-visita"}]
    machines = [("chico", "palermo", False), ("chico", "palermo", False), ("mediano", "cordoba", False)]
    d = Deployment(HERE, LIENZO, machines, teams=teams)
    d.start_all()
    d.wait_ready()
    # The disruption: an estimate that is wrong by half.
    estimate = RUN_S / 2 if trouble else RUN_S
    submissions = [
        (job("j-000001", owner="modelos", yard="palermo", cores=2.0, expectedS=estimate), RUN_S),
        (job("j-000002", owner="modelos", jobClass="calibracion", shape="group", pieces=4, cores=2.0, ramGb=3.2, oneZone=True,
             yard="palermo", loaners=False, expectedS=20.0), 20.0),
        (job("j-000003", owner="grupo-visita", jobClass="gran-mosaico", yard="palermo", cores=1.0, expectedS=60.0), 60.0),
    ]
    for submission, run_s in submissions:
        status, _ = d.submit(submission, run_s=run_s)
        if status != 201:
            raise CaseError(f"{submission['uid']} was not accepted")
        time.sleep(0.7)
    accepted = now() - 0.7

    def start_of(uid):
        return next((e[0] for e in d.world.events if e[1] == "start" and e[3].startswith(uid + "/")), None)

    if start_of("j-000001") is None:
        raise CaseError("the first job did not start")
    chicos = [w for w in d.world.workers if w.kind == "chico"]
    idle_since = accepted
    while now() < accepted + BOUND_S + 0.5 and start_of("j-000003") is None:
        time.sleep(0.1)
        with d.world.lock:
            # A machine that fits and has room: 1 CPU and 1.8 GB are free on it.
            if not any(w._used()[0] + 1.0 <= w.type["cores"] and not w.gone for w in chicos):
                idle_since = now()
    with d.world.lock:
        used = {w.name: w._used()[0] for w in chicos}
    d.ask("j-000003")
    waited = now() - max(accepted, idle_since)
    started = start_of("j-000003")
    d.recorder.add(f"j-000003: {'started after %.1f s' % (started - accepted) if started else 'waits since %.1f s' % waited}; "
                   f"CPUs in use on the two machines of 4 CPUs that fit: {used}")
    if d.ended():
        raise CaseError("a controller ended by itself")
    if started is None and waited >= BOUND_S:
        return [f"left waiting: j-000003 (1 CPU) has waited for {waited:.0f} s; CPUs in use on the machines that fit, of 4 each: {used}; "
                "its team has no limit and uses nothing"]
    return []


main(body)
