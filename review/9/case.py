"""Discovery is slow: an event takes 5 s to reach a watch, while comments come each second, and a host begins to drain."""
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from standins import *

FUNCTIONS = [f"7f3a9c21e0b4d6{number:02x}" for number in range(8)]
MORE = "memory_mb:2100;lanes:8;load_ms:900"
SLOW_BY, SLOW_FOR = 5.0, 25.0
TOLD_AFTER = 7.0  # "counts as told at the latest 7 s later, whether it arrived or not"
GRACE = 1.0 + 0.05  # drain-grace of the settings, and the 50 ms by which each time limit is longer on sockets


async def case(record, temporary, front_ends):
    halls = ["hall-a", "hall-b", "hall-c"]
    hosts = [await Host(f"s-00c41f{number:02x}", halls[number % 3], record, work_ms=30, load_ms=900, kind="std-2c").start() for number in range(6)]
    for host in hosts:
        host.loaded.update(FUNCTIONS)
    board = await Board(record).start()
    board.tell([host.entry() for host in hosts])
    front_end = FrontEnd("n1", record, montevideo(), board, temporary)
    front_ends.append(front_end)
    await front_end.start()

    playing, ended, number = True, {"served": 0, "refused": 0, "failed": 0, "none": 0}, 0

    async def call(client, ident, function):
        answer = await (await client.send(call_parameters(ident, "tile-render", "coop-norte", function, 4000, more=MORE), ident.encode()))
        ended[answer.kind() if answer else "none"] += 1

    async def gateway(offset):
        """Ten calls a second."""
        nonlocal number
        client = None
        while playing:
            try:
                if client is None or client.ended.is_set():
                    client = await Client(front_end.port).connect()
                number += 1
                asyncio.ensure_future(call(client, f"9b1f03aa{number:08x}", FUNCTIONS[(number + offset) % len(FUNCTIONS)]))
            except ConnectionError:
                client = None
            await asyncio.sleep(0.1)

    gateways = [asyncio.ensure_future(gateway(offset)) for offset in range(12)]
    await asyncio.sleep(5)
    if TROUBLE:
        board.slow_by = SLOW_BY
    await asyncio.sleep(0.2)
    draining = hosts[2]
    draining.state = "draining"  # it rejects calls with 203 and answers frames of code 4 with 207 from now on
    board.tell([draining.entry()])
    told_at = time.time() + TOLD_AFTER if TROUBLE else time.time()
    await asyncio.sleep(SLOW_FOR)
    playing = False
    await asyncio.gather(*gateways)
    if front_end.process.returncode is not None:
        record.say("the front end has ended")
        return False

    late = [(at, what, ident) for at, what, ident, fields in draining.arrivals
            if at > told_at + GRACE and (what == "call" or what == "hold" and not fields.endswith("slots_up=0"))]
    for at, what, ident in late:
        record.say(f"TO A DRAINING HOST: {what} {ident} came to {draining.id} {at - told_at:.3f} s after its drain counted as told")
    record.say(f"calls {ended}; {len(late)} calls and orders to load after the grace")
    if ended["served"] < 500:
        raise CannotRun("too few calls were served")
    return not late


play(case, FOLDER)
