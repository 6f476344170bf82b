"""Submissions that lack a field are accepted and run."""
import os
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
from standins import LIENZO, CaseError, Deployment, job, main  # noqa: E402

# All fields of POST /v1/jobs but those that the page lets be null (hostKinds, yard, dueS).
FIELDS = ["uid", "jobClass", "owner", "shape", "rank", "pieces", "cores", "accelerators", "ramGb", "oneZone", "spread", "loaners", "bundle",
          "pullGb", "expectedS", "snapshotEveryS", "snapshotS"]


def body(trouble):
    machines = [("mediano", "palermo", False), ("mediano", "cordoba", False), ("tensor", "palermo", False)]
    d = Deployment(HERE, LIENZO, machines)
    d.start_all()
    d.wait_ready()
    accepted = []
    for i, field in enumerate(FIELDS):
        submission = job(f"j-{100 + i:06d}", jobClass="etiquetado", owner="modelos", shape="group", cores=2.0, accelerators=1.0, ramGb=8.0,
                         expectedS=90.0, snapshotEveryS=30.0, snapshotS=5.0, loaners=False)
        if trouble:
            del submission[field]  # the disruption: the job lacks a field
        status, _ = d.submit(submission, run_s=2.0, for_s=10.0)
        if status in (200, 201):
            accepted.append(field)
        elif not trouble or status != 400:
            raise CaseError(f"unexpected status {status}")
    time.sleep(4)
    ran = sorted({e[3].rsplit("/", 1)[0] for e in d.world.events if e[1] == "start"})
    d.recorder.add(f"accepted: {len(accepted)} of {len(FIELDS)}; jobs that ran: {ran}")
    if d.ended():
        raise CaseError("a controller ended by itself")
    if not trouble:
        if len(accepted) != len(FIELDS):
            raise CaseError("complete submissions were refused")
        return []
    return [f"accepted though a field is missing: answered 201 without `{field}`, 400 is due" for field in accepted]


main(body)
