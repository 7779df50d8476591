"""A machine beside an endpoint loses power while an entry is restarted as planned. Downloads of other, living endpoints
move to other entries at that moment. The search for their endpoints waits for the dead machine and does
not go on, although it does not answer, because the callers have acknowledged more since the search began."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins2 as s

SERVICE = ("127.18.0.1", 8443)
SIZE = 240000


async def case(record):
    deployment = s.Deployment(record)
    try:
        return await play(deployment, record)
    finally:
        deployment.close()


async def play(deployment, record):
    store = s.Store(deployment.store_address, record)
    await store.start()
    store.write_operator("op/config", s.manifest(
        4, [("archive", *SERVICE, "press", "download")], ["press"]))
    entries = [deployment.machine(number) for number in (1, 2, 3)]
    for number, machine in enumerate(entries, 1):
        deployment.start("entry", f"edge-{number}", machine)
    upstreams, sides = [], []
    for number, zone in enumerate(("z1", "z1", "z2", "z2", "z2"), 1):
        sides.append(deployment.machine(10 + number, zone))
        deployment.start("agent", f"side-{number}", sides[-1], "press")
        slots = 2 if zone == "z1" else 6
        upstreams.append(s.Upstream(f"i-{number}", "press", zone, sides[-1], record, slots))
    await asyncio.sleep(0.5)
    for upstream in upstreams:
        await upstream.start()
    for machine in entries:
        await deployment.wait_ready(machine)
    callers = s.Callers(deployment.caller_address(1), record)
    await callers.start()
    rotation = asyncio.create_task(s.keep_rotation(callers, entries))
    await asyncio.sleep(4)
    stop = False
    failed = []

    async def caller(number):
        count = 0
        while not stop:
            key = await callers.open(SERVICE)
            if key is None:
                await asyncio.sleep(0.1)
                continue
            while not stop and not callers.flows[key]["ended"]:
                count += 1
                name = f"d{number}-{count}"
                began = time.monotonic()
                if not await callers.download(key, name, SIZE):
                    holder = [up.name for up in upstreams if key in up.flows]
                    failed.append((name, key[0][1], holder))
                    record(f"{name} on flow {key[0][1]} has no whole answer after {time.monotonic() - began:.1f} s; "
                           f"its endpoint is {holder}")
                    break

    tasks = [asyncio.create_task(caller(number)) for number in range(30)]
    await asyncio.sleep(4)
    record(f"flows: { {up.name: len(up.flows) for up in upstreams} }")
    lost = upstreams[1]

    # Planned: entry 1 is restarted. Side machine 2 loses power while the router still sends packets to it.
    stopping = asyncio.create_task(deployment.stop("edge-1"))
    await asyncio.sleep(0.2)
    if s.TROUBLE:
        await lost.crash()
        await deployment.stop("side-2", kill=True)
    await stopping
    await asyncio.sleep(0.5)
    deployment.start("entry", "edge-1", entries[0])
    await asyncio.sleep(10)
    # Entry 1 is not in touch; what it took does not count.
    astray = s.flows_astray(upstreams, [machine["ip"] for machine in entries[1:]])
    stop = True
    await asyncio.gather(*tasks)
    rotation.cancel()
    s.record_totals(record, callers, upstreams)
    broken = s.resets_of_living_flows(callers, upstreams)
    for port, (holder, at, count) in astray.items():
        broken.append(f"FLOW (b): from {at - record.started:.3f} s on, {count} packets of flow {port} reached other "
                      f"endpoints within 2 s and none its own, {holder}, which lives")
    return broken


s.main(os.path.dirname(os.path.abspath(__file__)), case)
