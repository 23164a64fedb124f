"""A start in the answer to a report arrives after the worker was told to forget the attempt. See claim.txt."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lib"))
import testbed

HELD_S = 3.2  # below the 4 s after which a worker drops an answer


class Link:
    """The network and the luck of one machine: the first answer to a report that brings a new start of the watched
    kind of job. The task fails there once; with the disruption, the answer is on its way for HELD_S."""

    def __init__(self, bed, trouble):
        self.bed, self.trouble = bed, trouble
        self.armed, self.site, self.task, self.at = False, None, None, None

    def attach(self, worker):
        worker.answer_delay = lambda report, answer: self.answer_delay(worker, answer)

    def answer_delay(self, worker, answer):
        if not self.armed or worker.site != self.site:
            return 0
        for order in answer.get("orders") or []:
            name, attempt = order["task"], order["try"]
            is_new = order["verb"] == "run" and (name, attempt) not in worker.tasks
            if not is_new or self.bed.jobs[name.split("/")[0]]["site"]:
                continue
            self.armed, self.task, self.at = False, name, time.monotonic()
            worker.outcome = lambda task, n: "error" if (task, n) == (name, attempt) else "done"
            pause = HELD_S if self.trouble else 0
            self.bed.note("the answer to a report brings a new start", machine=worker.uid, task=name, attempt=attempt,
                          arrives_after_s=pause)
            return pause
        return 0


def case(trouble):
    bed = testbed.Testbed(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
    link = Link(bed, trouble)
    bed.prepare = link.attach
    try:
        if not bed.start():
            raise testbed.NotRun("the controllers don't get ready")
        service = bed.spec("req-000001", jobclass="bid-forecast", shape="standing", rank="production", tasks=2,
                           spread=True, vcpus=5.0, gpus=0.0, memory_gb=19.0, runtime_s=0.0)
        bed.submit(service)
        if not bed.wait(lambda: all(bed.on.get("req-000001/%d" % i) for i in (0, 1)), 30):
            raise testbed.NotRun("the service doesn't run")
        link.site = min(bed.cloud.alive(), key=lambda w: w.uid).site  # new tasks go to the oldest machine first
        time.sleep(3)
        link.armed = True
        begin, n = time.monotonic(), 0
        while time.monotonic() - begin < 70 and not (link.at and time.monotonic() - link.at > 8):
            n += 1  # one-task jobs, four a second; every second one is bound to the zone of the machine
            job = bed.spec("req-%06d" % (100 + n), site=link.site if n % 2 else None, vcpus=0.1, gpus=0.0,
                           memory_gb=0.5, runtime_s=6.0, real_runtime_s=6.0)
            threading.Thread(target=bed.submit, args=(job, n), daemon=True).start()
            time.sleep(0.25)
        if not link.task:
            raise testbed.NotRun("no answer to a report brought a new start")
        time.sleep(1)
        print("jobs: %d, task: %s, started twice: %s" % (n, link.task, bed.twice))
        return not bed.twice
    finally:
        bed.close()


testbed.main(case)
