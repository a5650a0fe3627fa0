"""One function in sixteen gives long answers, and a client calls sixteen functions in turn, sixteen calls at a time."""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from standins import *

FUNCTIONS = [f"7f3a9c21e0b4d6{number:02x}" for number in range(16)]
LONG = FUNCTIONS[7]
LONG_BYTES = 230_000 if TROUBLE else 1_000
ROUNDS, CALLS_AT_ONCE, WAIT_MS, PAUSE = 4, 16, 4000, 0.25
MORE = "memory_mb:2100;lanes:8;load_ms:900"


async def case(record, temporary, front_ends):
    halls = ["hall-a", "hall-b", "hall-c"]
    hosts = [await Host(f"s-00c41f{number:02x}", halls[number % 3], record, work_ms=50, load_ms=900, kind="std-2c").start() for number in range(6)]
    for host in hosts:
        host.answer_body = lambda ident, function, body: body.ljust(LONG_BYTES if function == LONG else 1_000, b".")
    board = await Board(record).start()
    board.tell([host.entry() for host in hosts])
    front_end = FrontEnd("n1", record, montevideo(), board, temporary)
    front_ends.append(front_end)
    await front_end.start()

    number, lost, ended = 0, [], {"served": 0, "refused": 0, "failed": 0}
    client = None

    async def batch(function, calls):
        nonlocal client, number
        if client is None or client.ended.is_set():
            client = await Client(front_end.port).connect()
        sent = []
        for _ in range(calls):
            number += 1
            ident = f"9b1f03aa{number:08x}"
            parameters = call_parameters(ident, "tile-render", "coop-norte", function, WAIT_MS, more=MORE)
            request = client.next_request
            future = await client.send(parameters, ident.encode())
            sent.append((ident, request, time.time(), future))
        for ident, request, sent_at, future in sent:
            try:
                answer = await asyncio.wait_for(asyncio.shield(future), max(0.0, sent_at + WAIT_MS / 1000 + 0.5 - time.time()))
            except asyncio.TimeoutError:
                lost.append(ident)
                record.say(f"LOST {ident}: no answer 0.5 s after its time")
                continue
            if answer is not None:
                ended[answer.kind()] += 1
                record.say(f"{ident} is {answer.kind()}, {len(answer.body)} bytes")
            elif request in client.partial:
                record.say(f"{ident}: cut off after its answer had begun (failed, not lost)")
            else:
                ran = any(run[1] == ident for host in hosts for run in host.runs)
                lost.append(ident)
                record.say(f"LOST {ident}: the front end closed its connection {client.ended_at - sent_at:.3f} s after it was sent; it "
                           f"{'ran' if ran else 'did not run'} at a host")

    for function in FUNCTIONS:  # each function is loaded; the share of long answers is one in sixteen here too
        await batch(function, 1)
    for _ in range(ROUNDS):
        for function in FUNCTIONS:
            await batch(function, CALLS_AT_ONCE)
            await asyncio.sleep(PAUSE)
    if front_end.process.returncode is not None:
        record.say("the front end has ended")
        return False
    record.say(f"{number} calls: {ended['served']} served, {ended['refused']} refused, {ended['failed']} failed, {len(lost)} lost")
    if ended["served"] < number / 2:
        raise CannotRun("fewer than half of the calls were served")
    return not lost


play(case, FOLDER)
