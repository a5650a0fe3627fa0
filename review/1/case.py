"""A bad client at one of three front ends sends requests without an id at full speed. See claim.txt."""
import asyncio
import multiprocessing
import os
import random
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from standin import TROUBLE, Client, Watch, call_fields, hex_id, request_bytes, run_case, start_deployment  # noqa: E402

FRONT_ENDS = 3
BAD_CLIENTS = 1
CALM_S = 3
BAD_S = 12
# A request is lost when its final answer comes later than half a second after its time; each limit is 50 ms longer.
SLACK_S = 0.5 + 0.05
FUNCTIONS = [hex_id() for _ in range(4)]
LANES = 4


def bad_client(port, until, counts):
    """Sends requests without an id one after the other, reads all it is sent, and comes back when it is closed."""
    fields = call_fields("", "tile-render", "coop-norte", FUNCTIONS[0], 2000)
    del fields["HTTP_REQ_ID"]
    requests = request_bytes(1, fields) * 1000

    def read(stream):
        try:
            while received := stream.recv(65536):
                with counts.get_lock():
                    counts[1] += len(received)
        except OSError:
            pass

    while time.time() < until:
        try:
            stream = socket.create_connection(("127.0.0.1", port), timeout=1)
        except OSError:
            time.sleep(0.01)
            continue
        stream.settimeout(0.5)
        threading.Thread(target=read, args=(stream,), daemon=True).start()
        with counts.get_lock():
            counts[2] += 1
        try:
            while time.time() < until:
                sent = stream.send(requests)
                # The next write goes on where this one ended.
                rest = requests[sent % len(requests):]
                with counts.get_lock():
                    counts[0] += sent
                while rest and sent < len(requests) and time.time() < until:
                    try:
                        more = stream.send(rest)
                    except socket.timeout:
                        continue
                    rest = rest[more:]
                    with counts.get_lock():
                        counts[0] += more
        except OSError:
            pass
        stream.close()


async def lane(client_of, requests, stop):
    """Sends one request after the other, each when the one before has its answer, with a short pause."""
    while not stop.is_set():
        client = await client_of()
        kind, give_up_ms = random.choice([("tile-render", 4000), ("tile-order", 5000)])
        request = client.send(kind, random.choice(FUNCTIONS), random.randint(give_up_ms // 2, give_up_ms))
        requests.append(request)
        await request.done
        await asyncio.sleep(random.uniform(0.05, 0.15))


def clients_of(name, front_end, record):
    """The present connection of a usual client; a new one once it has been closed."""
    current = []

    async def client_of():
        if not current or current[-1].closed.is_set():
            current.append(await Client(name, front_end, record).connect())
        return current[-1]

    return client_of


async def play(record, folder, front_ends):
    started = await start_deployment(record, folder, front_ends, FRONT_ENDS)
    if started is None:
        return None
    stop, lanes, requests = asyncio.Event(), [], {}
    watch = Watch()
    for front_end in front_ends:
        requests[front_end.name] = []
        for number in range(2):
            client_of = clients_of(f"client {front_end.name}/{number}", front_end, record)
            await client_of()
            for _ in range(LANES):
                lanes.append(asyncio.ensure_future(lane(client_of, requests[front_end.name], stop)))
    await asyncio.sleep(CALM_S)
    bad, counts = [], multiprocessing.Array("q", 3)
    if TROUBLE:
        until = time.time() + BAD_S
        bad = [
            multiprocessing.Process(target=bad_client, args=(front_ends[0].port, until, counts), daemon=True)
            for _ in range(BAD_CLIENTS)
        ]
        for process in bad:
            process.start()
        record.line(f"{BAD_CLIENTS} bad client begins at {front_ends[0].name}, for {BAD_S} s")
    await asyncio.sleep(BAD_S)
    record.line("the bad client ends")
    stop.set()
    await asyncio.wait(lanes, timeout=8)
    now = time.time()
    for process in bad:
        process.join(1)
        if process.is_alive():
            process.kill()
            process.join()
    record.line(f"bad client: {counts[0]} bytes sent, {counts[1]} bytes read, {counts[2]} connections")
    lost = 0
    for name, sent in requests.items():
        kinds = {}
        for request in sent:
            kind = request.answer.kind() if request.answer else "no answer"
            kinds[kind] = kinds.get(kind, 0) + 1
        late = [request for request in sent if request.is_lost(now, SLACK_S)]
        for request in late:
            took = "never" if request.ended_at is None else f"after {(request.ended_at - request.sent_at) * 1000:.0f} ms"
            record.line(f"lost at {name}: {request.request_id} waits {request.wait_ms} ms, answered {took}")
        lost += len(late)
        record.line(f"{name}: {len(sent)} requests of usual clients, {kinds}, lost {len(late)}")
    record.line(f"the stand-ins were late by {watch.worst * 1000:.0f} ms at most")
    return None if watch.is_late() else lost == 0


run_case(HERE, play)
