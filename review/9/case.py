"""An endpoint holds flows to more than 64 addresses of routes. The operators move the routes to another service, and an
entry is added. Reports of the agent name 64 of the addresses only, but say that they name all; so the new entry looks for
the other flows at the new service alone, and resets them."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins2 as s

ROUTES = [("127.18.%d.%d" % (number // 8, 1 + number % 8), 8080) for number in range(96)]


async def case(record):
    deployment = s.Deployment(record)
    try:
        return await play(deployment, record)
    finally:
        deployment.close()


def routes_to(service):
    return [(f"r{number}", *route, service, "non_idempotent") for number, route in enumerate(ROUTES)]


async def play(deployment, record):
    store = s.Store(deployment.store_address, record)
    await store.start()
    store.write_operator("op/config", s.manifest(4, routes_to("feed"), ["feed", "feed-new"]))
    entries = [deployment.machine(1), deployment.machine(2)]
    for number, machine in enumerate(entries, 1):
        deployment.start("entry", f"edge-{number}", machine)
    upstreams = []
    for number, service in enumerate(("feed", "feed-new"), 1):
        machine = deployment.machine(10 + number)
        deployment.start("agent", f"side-{number}", machine, service)
        upstreams.append(s.Upstream(f"i-{number}", service, "z1", machine, record, 8))
    await asyncio.sleep(0.5)
    for upstream in upstreams:
        await upstream.start()
    for machine in entries:
        await deployment.wait_ready(machine)
    callers = s.Callers(deployment.caller_address(1), record)
    await callers.start()
    rotation = asyncio.create_task(s.keep_rotation(callers, entries))
    await asyncio.sleep(4)

    # One flow on each route.
    opened = [await callers.open(route) for route in ROUTES]
    flows = [key for key in opened if key is not None]
    count = 0

    async def round_of_requests():
        nonlocal count
        sent = []
        for flow in flows:
            if not callers.flows[flow]["ended"]:
                count += 1
                sent.append(callers.request(flow, f"q{count}"))
        done = await asyncio.gather(*sent)
        record(f"{sum(done)} of {len(done)} requests on open flows are answered; flows: "
               f"{ {up.name: len(up.flows) for up in upstreams} }")

    for _ in range(4):
        await round_of_requests()
        await asyncio.sleep(3)

    # Planned: the routes go to another service from now on; open flows stay where they are.
    if s.TROUBLE:
        store.write_operator("op/config", s.manifest(9, routes_to("feed-new"), ["feed", "feed-new"]))
    await asyncio.sleep(4)
    await round_of_requests()

    # Planned: an entry is added.
    entries.append(deployment.machine(3))
    deployment.start("entry", "edge-3", entries[-1])
    for _ in range(3):
        await asyncio.sleep(2)
        await round_of_requests()
    rotation.cancel()
    broken = s.resets_of_living_flows(callers, upstreams)
    s.record_totals(record, callers, upstreams)
    return broken


s.main(os.path.dirname(os.path.abspath(__file__)), case)
