"""While a process is replaced, two operators leave hosts out, one at the door of each process."""
import os
import sys
import threading

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from standins import *

FUNCTIONS = [f"7f3a9c21e0b4d6{number:02x}" for number in range(8)]
MORE = "memory_mb:2100;lanes:8;load_ms:900"
HOSTS, BANNED_EACH = 14, 4
GRACE = 1.0 + 0.05  # drain-grace of the settings, and the 50 ms by which each time limit is longer on sockets
WATCHED = 10.0


def ask(port, line, barrier, answers, record):
    """One call at a door, made once all callers have connected. Notes when its answer came."""
    with socket.create_connection(("127.0.0.1", port), timeout=2) as door:
        barrier.wait()
        door.sendall(line.encode() + b"\n")
        answer = b""
        while piece := door.recv(4096):
            answer += piece
    answers.append((line, answer.decode().strip(), time.time()))


def ask_at_once(calls, record):
    barrier, answers = threading.Barrier(len(calls)), []
    callers = [threading.Thread(target=ask, args=(port, line, barrier, answers, record)) for port, line in calls]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    return answers


async def case(record, temporary, front_ends):
    halls = ["hall-a", "hall-b", "hall-c"]
    hosts = [await Host(f"s-00c41f{number:02x}", halls[number % 3], record, work_ms=30, load_ms=900, kind="std-2c").start() for number in range(HOSTS)]
    for host in hosts:
        host.loaded.update(FUNCTIONS)  # other front ends have had them loaded
    board = await Board(record).start()
    board.tell([host.entry() for host in hosts])
    shared, port = os.path.join(temporary, "shared"), free_port()

    async def process():
        started = FrontEnd("n1", record, montevideo(), board, temporary, admin=True, port=port, shared=shared)
        front_ends.append(started)
        return await started.start(wait=len(front_ends) == 1)

    old = await process()
    playing, ended, number = True, {"served": 0, "refused": 0, "failed": 0, "none": 0}, 0

    async def call(client, ident, function):
        answer = await (await client.send(call_parameters(ident, "tile-render", "coop-norte", function, 4000, more=MORE), ident.encode()))
        ended[answer.kind() if answer else "none"] += 1

    async def gateway(offset):
        """Ten calls a second, on a connection that is renewed when the front end closes it."""
        nonlocal number
        client = None
        while playing:
            try:
                if client is None or client.ended.is_set():
                    client = await Client(port).connect()
                number += 1
                asyncio.ensure_future(call(client, f"9b1f03aa{number:08x}", FUNCTIONS[(number + offset) % len(FUNCTIONS)]))
            except ConnectionError:
                client = None
            await asyncio.sleep(0.1)

    gateways = [asyncio.ensure_future(gateway(offset)) for offset in range(6)]
    await asyncio.sleep(5)

    doors = [old.admin, old.admin]
    new = None
    if TROUBLE:
        new = await process()
        for _ in range(60):  # due within 6 s
            try:
                if (await new.call_door("readyz")).startswith("YES"):
                    break
            except (ConnectionError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("the new process was not ready in 6 s")
        doors = [old.admin, new.admin]
    banned = hosts[:2 * BANNED_EACH]
    calls = [(doors[place % 2], f"exclude {host.id}") for place, host in enumerate(banned)]
    answers = await asyncio.to_thread(ask_at_once, calls, record)
    agreed = {}
    for line, answer, at in sorted(answers, key=lambda answer: answer[2]):
        record.say(f"door: {line} -> {answer} after {at - record.started:.3f}")
        if answer.startswith("YES"):
            agreed[line.split()[1]] = at
    if new:
        await asyncio.sleep(0.1)  # the front asks every 0.1 s whether the new process is ready
        old.signal(signal.SIGTERM)
    await asyncio.sleep(WATCHED)
    if new:
        if new.process.returncode is not None:
            raise CannotRun("the new process has ended")
        if old.process.returncode is None:
            old.signal(signal.SIGKILL)
    playing = False
    await asyncio.gather(*gateways)
    await asyncio.sleep(0.5)

    late = []
    for host in banned:
        for at, what, ident, fields in host.arrivals:
            is_new_work = what == "call" or what == "hold" and not fields.endswith("slots_up=0")
            if is_new_work and host.id in agreed and at > agreed[host.id] + GRACE:
                late.append((at, host.id, what, ident))
    for at, host, what, ident in sorted(late):
        record.say(f"AGAINST THE BAN: {what} {ident} came to {host} {at - agreed[host]:.3f} s after the front end had said yes")
    record.say(f"calls {ended}; {len(agreed)} bans agreed to; {len(late)} calls and orders against {len({host for _, host, _, _ in late})} of them")
    if len(agreed) < len(banned) or ended["served"] < 100:
        raise CannotRun("a ban was not agreed to, or too few calls were served")
    return not late


play(case, FOLDER)
