"""A pipeline of many stages; only its last job has a deadline. See claim.txt."""
import concurrent.futures
import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from stand_ins import Deployment, Record, job, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SHAPE = os.environ.get("SHAPE", "growing")  # or "many", see claim.txt
UNANSWERED_S = 75.0  # of the page: no question about the job is answered for 75 s
HELD, BROKEN, NOT_RUN = 0, 1, 2


def stages_of_many(width=100, count=20, seed=1):
    """Each stage has `width` jobs and needs all of the stage before. Estimates from 8 to 30 s, as the brief's classes have."""
    draw, stages, before = random.Random(seed), [], []
    for stage in range(count):
        uids = [f"j-{1000 + stage * width + n:06}" for n in range(width)]
        stages.append([job(uid, jobClass="recorte", expectedS=round(draw.uniform(8, 30), 1), waitsOn=before, runS=30.0) for uid in uids])
        before = uids
    return stages


def stages_that_grow(width=8, count=11, unit_s=0.000002):
    """Each stage has `width` jobs and one that needs all of them; the next stage needs that one. Estimates grow from stage to stage, from
    10 s to 4.2 hours; in `waitsOn` the longest job of a stage is named first."""
    stages, before, number = [], [], 1000
    for stage in range(count):
        longer_s = [n * unit_s * width**stage for n in range(width)]
        specs = [job(f"j-{number + n:06}", jobClass="recorte", expectedS=round(10 + longer_s[n], 6), waitsOn=before, runS=30.0)
                 for n in range(width)]
        joint = job(f"j-{number + width:06}", jobClass="calibracion", expectedS=10.0, waitsOn=[s["uid"] for s in reversed(specs)], runS=30.0)
        stages += [specs, [joint]]
        before = [joint["uid"]]
        number += width + 1
    return stages


def pipeline():
    stages = stages_of_many() if SHAPE == "many" else stages_that_grow()
    # The deadline is on the last job only, as the page says.
    last = job("j-009999", jobClass="publicacion", rank="high", expectedS=8.0, waitsOn=[j["uid"] for j in stages[-1]],
               dueS=30000.0 if TROUBLE else None, runS=8.0)
    return stages, last


def submit_all(deployment, specs):
    with concurrent.futures.ThreadPoolExecutor(24) as users:
        statuses = list(users.map(lambda spec: deployment.submit(spec, give_up_s=30), specs))
    return all(status in (200, 201) for status in statuses)


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    deployment = Deployment(record, [("mediano", "palermo"), ("mediano", "cordoba"), ("mediano", "palermo"), ("mediano", "cordoba")])
    try:
        return run(deployment, record)
    finally:
        deployment.stop()


def run(deployment, record):
    if not deployment.wait_until_serving(15):
        record("no controller serves")
        return NOT_RUN
    # A service and a job that has nothing to do with the pipeline.
    viewer = job("j-000001", jobClass="visor", owner="curaduria", shape="service", rank="prod", pieces=2, expectedS=0.0, spread=True,
                 runS=None)
    other = job("j-000002", runS=15.0)
    if not submit_all(deployment, [viewer, other]):
        return NOT_RUN
    stages, last = pipeline()
    for specs in stages:
        if not submit_all(deployment, specs):
            record("the pipeline is not accepted")
            return NOT_RUN
    watched = ["j-000001", "j-000002", stages[0][0]["uid"]]
    answered = {uid: 0.0 for uid in watched}
    for uid in watched:
        if deployment.poll(uid)[0] != 200:
            record(f"{uid} is accepted and not known before the last submission")
            return NOT_RUN
        answered[uid] = now()
    record("the pipeline is complete but for its last job, which is submitted now")
    threading.Thread(target=deployment.submit, args=(last,), kwargs={"give_up_s": 60}, daemon=True).start()
    began = now()
    while now() < began + UNANSWERED_S + 5:
        for uid in watched:
            for label in deployment.clients:
                status, _ = deployment.poll(uid, label)
                if status in (200, 404):
                    answered[uid] = now()
                    if status == 404:
                        record(f"RULE BROKEN: {uid} is accepted and answered 404")
                        return BROKEN
        forgotten = [uid for uid in watched if now() - max(answered[uid], began) > UNANSWERED_S]
        if forgotten:
            for label, process in deployment.processes.items():
                status, _ = deployment.ask(label, "GET", "/healthz", timeout=1.0)
                record(f"{label}: process {'runs' if process.poll() is None else 'ended'}, /healthz {status or 'no answer'}")
            record(f"RULE BROKEN: forgotten: no question about {', '.join(forgotten)} was answered for {UNANSWERED_S:.0f} s")
            return BROKEN
        time.sleep(1)
    record("the rule held: " + ", ".join(f"{uid} answered {now() - at:.1f} s ago" for uid, at in answered.items()))
    return HELD


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception as error:  # a fault of the test, not of the service
        print(f"{type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(NOT_RUN)
