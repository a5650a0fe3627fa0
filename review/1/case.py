"""Front ends are drained by operators while clients read slowly. See claim.txt."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standin import FUNCTIONS, TROUBLE, Host, SlowClient, Watch, count_kinds, run_case, start_deployment  # noqa: E402

FRONT_ENDS = 3
# At each front end.
CONNECTIONS = 4
OPEN_REQUESTS = 32
BYTES_PER_S = 500_000
LONG_ANSWER_BYTES = 230_000
CALM_S = 3
DRAINS_EACH = 5
# The front end must have closed its clients' connections by then, and is called back after it.
DRAINED_S = 4.5
IN_USE_S = 1.5
# New connections come for so long after a front end is not ready.
NEW_CONNECTIONS_S = 0.2


class SlowClients:
    """The clients of one front end: each connection has a number of open requests, and is opened again once it has
    ended, unless the front end is not ready."""

    def __init__(self, front_end, record, stop):
        self.front_end, self.record, self.stop = front_end, record, stop
        self.requests = []
        self.closed_since = None  # when the front end was found not to be ready
        self.tasks = []
        for number in range(CONNECTIONS):
            holder = {"lock": asyncio.Lock(), "client": None}
            name = f"client {front_end.name}/{number}"
            self.tasks += [asyncio.ensure_future(self.lane(name, holder)) for _ in range(OPEN_REQUESTS)]

    async def client(self, name, holder):
        """The present connection; None while there is none and none may be opened."""
        async with holder["lock"]:
            client = holder["client"]
            if client is not None and not client.closed.is_set():
                return client
            if self.closed_since is not None and time.time() > self.closed_since + NEW_CONNECTIONS_S:
                return None
            try:
                holder["client"] = await SlowClient(name, self.front_end, self.record, BYTES_PER_S).connect()
            except OSError:
                return None
            return holder["client"]

    async def lane(self, name, holder):
        while not self.stop.is_set():
            client = await self.client(name, holder)
            if client is None or client.is_broken or len(client.open) >= client.MOST_OPEN:
                await asyncio.sleep(0.05)
                continue
            kind, give_up_ms = random.choice([("tile-render", 4000), ("tile-order", 5000)])
            request = client.send(kind, random.choice(FUNCTIONS), random.randint(give_up_ms // 2, give_up_ms))
            if request is not None:
                self.requests.append(request)
                await request.done
            await asyncio.sleep(random.uniform(0, 0.05))


async def drain_again_and_again(clients, wait_s, drains):
    front_end, record = clients.front_end, clients.record
    await asyncio.sleep(wait_s)
    for _ in range(DRAINS_EACH):
        if TROUBLE:
            drains.append((front_end.name, time.time()))
            answer = await front_end.call_admin("evacuate")
            clients.closed_since = time.time()
            record.line(f"{front_end.name}: evacuate: {answer}")
        await asyncio.sleep(DRAINED_S)
        if TROUBLE:
            answer = await front_end.call_admin("activate")
            clients.closed_since = None
            record.line(f"{front_end.name}: activate: {answer}")
        await asyncio.sleep(IN_USE_S)


async def play(record, folder, front_ends):
    Host.long_answer = LONG_ANSWER_BYTES
    started = await start_deployment(record, folder, front_ends, FRONT_ENDS)
    if started is None:
        return None
    _, hosts = started
    watch, stop, drains = Watch(), asyncio.Event(), []
    all_clients = [SlowClients(front_end, record, stop) for front_end in front_ends]
    await asyncio.sleep(CALM_S)
    await asyncio.gather(*(drain_again_and_again(clients, 2 * i, drains) for i, clients in enumerate(all_clients)))
    stop.set()
    await asyncio.wait([task for clients in all_clients for task in clients.tasks], timeout=8)
    ran = set().union(*(host.ran for host in hosts))
    lost = 0
    for clients in all_clients:
        name = clients.front_end.name
        unanswered = [r for r in clients.requests if r.ended_at is not None and r.answer is None]
        # Not counted: what no host ran, and an answer that had begun to come.
        broken = [r for r in unanswered if int(r.request_id, 16) in ran and not r.has_begun]
        for request in broken:
            since = [at for drained, at in drains if drained == name and request.sent_at < at < request.ended_at]
            record.line(
                f"lost at {name}: {request.request_id} ({request.kind}) ran at a host, its connection ended without an answer"
                f" {(request.ended_at - request.sent_at) * 1000:.0f} ms after it was sent, "
                + ("sent before the drain" if since else "sent after the drain, on an open connection")
            )
        lost += len(broken)
        record.line(
            f"{name}: {len(clients.requests)} requests, {count_kinds(clients.requests)}, of those without an answer"
            f" {len(broken)} ran at a host and had no byte of an answer"
        )
    record.line(f"{lost} requests lost in {len(drains)} drains")
    record.line(f"the stand-ins were late by {watch.worst * 1000:.0f} ms at most")
    return None if watch.is_late() else lost == 0


run_case(HERE, play)
