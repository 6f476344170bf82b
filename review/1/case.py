"""A pipeline with two jobs a stage; only its last job has a deadline. See claim.txt."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from stand_ins import Deployment, Record, job, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STAGES = int(os.environ.get("STAGES", "30"))
UNANSWERED_S = 75.0  # of the page: no question about the job is answered for 75 s
HELD, BROKEN, NOT_RUN = 0, 1, 2


def pipeline():
    """Each stage has a long job and a short one; the next stage needs both. The long jobs take twice as long with each stage."""
    stages, before, number = [], [], 1000
    for stage in range(STAGES):
        pair = []
        for expected_s in (10 + 0.00002 * 2**stage, 10.0):
            number += 1
            pair.append(job(f"j-{number:06}", jobClass="recorte", expectedS=round(expected_s, 5), waitsOn=before, runS=30.0))
        number += 1
        joint = job(f"j-{number:06}", jobClass="calibracion", expectedS=10.0, waitsOn=[j["uid"] for j in pair], runS=30.0)
        stages += [pair, [joint]]
        before = [joint["uid"]]
    # The deadline is on the last job only, as the page says.
    due_s = 30000.0 if TROUBLE else None
    last = job(f"j-{number + 1:06}", jobClass="publicacion", rank="high", expectedS=8.0, waitsOn=before, dueS=due_s, runS=8.0)
    return stages, last


def submit_all(deployment, specs):
    statuses = [0] * len(specs)

    def submit(index):
        statuses[index] = deployment.submit(specs[index], give_up_s=30)

    threads = [threading.Thread(target=submit, args=(i,)) for i in range(len(specs))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return all(status in (200, 201) for status in statuses)


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    deployment = Deployment(record, [("mediano", "palermo"), ("mediano", "cordoba"), ("mediano", "palermo"), ("mediano", "cordoba")])
    try:
        return run(deployment, record)
    finally:
        deployment.stop()
        record.close()


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
