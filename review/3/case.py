"""A worker leaves with `deregister` alone, its daemon is killed and started again, and a status report
that the worker sent before it left arrives late. The worker must not be used again."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from standins import DRAIN_S, config, run_case, trouble  # noqa: E402

READ, REGISTER = ("a.example", "/okuma/"), ("b.example", "/yazma/")
REPORT_LATE_BY_S = 4.0
KILLED_AFTER_S = 0.5
DOWN_FOR_S = 1.0
SERVES_ON_FOR_S = 14.0
REQUEST_INTERVAL_S = 0.1
WORK_S = 0.1


async def play(deployment):
    record = deployment.record
    reader = deployment.add("izmit-1", "izmit", "okuma", sharded=True)
    leaving = deployment.add("izmit-2", "izmit", "yazma", work_s=WORK_S)
    deployment.add("gebze-1", "gebze", "yazma", work_s=WORK_S)
    calm = deployment.add("golcuk-1", "golcuk", "okuma", sharded=True)
    routes = [(*READ, "idempotent", "okuma", True), (*REGISTER, "non_idempotent", "yazma", False)]
    if not await deployment.start(config(1, routes)):
        return 2

    async def register(machine):
        host, prefix = REGISTER
        while True:
            asyncio.create_task(deployment.request(machine, "POST", host, prefix + "1", b"notice"))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    requesters = [asyncio.create_task(register(m)) for m in (reader, calm)]
    await asyncio.sleep(4)
    worker = leaving.worker
    worker.stop_reporting()
    late_report = worker.status_report()
    record.write(f"{worker.name} sends its last status report, which will arrive late")
    acked = await worker.deregister(with_born=True)
    acked_at = record.now()
    record.write(f"deregister of {worker.name} is answered {acked}")
    if acked != 200:
        return 2

    async def deliver_late():
        await asyncio.sleep(REPORT_LATE_BY_S)
        status = await worker.send_report(late_report)
        record.write(f"the late status report of {worker.name} is answered {status}")

    late = asyncio.create_task(deliver_late())
    if trouble():
        await asyncio.sleep(KILLED_AFTER_S)
        leaving.signal(9)
        leaving.kill()
        await asyncio.sleep(DOWN_FOR_S)
        leaving.start()
    await asyncio.sleep(acked_at + SERVES_ON_FOR_S - record.now())
    worker.exit()
    record.write(f"{worker.name} exits")
    await asyncio.sleep(1)
    for task in requesters:
        task.cancel()
    await late

    after = [at for at, _ in worker.runs if at > acked_at + DRAIN_S]
    counted = [at for at in after if leaving.is_in_touch(at)]
    record.write(
        f"runs at {worker.name} later than {DRAIN_S} s after the ack: {len(after)}, "
        f"of these sent on by a machine in touch: {len(counted)}"
    )
    cut = [i for at, i in worker.runs if at > acked_at + DRAIN_S and i not in worker.answered]
    record.write(f"of these cut by the worker's exit: {cut}")
    return 1 if counted else 0


run_case(FOLDER, play)
