"""An agent takes it for the start of its endpoint if the endpoint's time of birth is later than its own start by the clock.

The time of day has jumped back since the endpoint started. An agent that is restarted soon afterwards reports that it has seen all
flows, although the agent before it has delivered some, and its digest lacks them. An entry that searches for such a flow resets it.
"""

import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins3 import Client, Deployment, Endpoint, main, route_of

SERVICE = "feed"
ROUTE = ("127.99.0.1", 8443)
# contactMs of arcs-sere-grown: a machine is in touch after 5 s without a disruption on it.
CONTACT_S = 5.0
# The platform starts a process again after a short delay.
RESTART_S = 0.2
# How far the time of day jumps back, in milliseconds; the default of `fleetbench kinds`.
STEP_MS = 2_000
# From the start of the endpoint to the planned restart of its agent.
RESTART_AFTER_S = 1.6
NEW = 26


def case(record, trouble):
    deployment = Deployment(record, net=14)
    endpoints = []

    def add_endpoint(number, ahead_ms=0):
        endpoints.append(
            Endpoint(f"server-{number}", SERVICE, deployment.ip(number), deployment.ports, record, ahead_ms=ahead_ms)
        )

    try:
        deployment.write_manifest(3, [route_of("feed-pull", SERVICE, ROUTE)])
        for number in (21, 22, 23, 24, 25, NEW):
            deployment.start_agent(number, SERVICE)
        for number in (21, 22, 23, 24, 25):
            add_endpoint(number)
        for number in (11, 12):
            deployment.start_entry(number)
        for number in (11, 12):
            deployment.wait_ready(number)
        deployment.wait_listed(5)
        time.sleep(CONTACT_S)
        client = Client(deployment.ip(200), deployment.ports["packets"], ROUTE, record)
        record("planned: an endpoint is added")
        if trouble:
            # What the endpoint says of its start is by the clock before the jump; the agent reads the clock after it.
            record(f"the time of day jumps back by {STEP_MS} ms right after the start of the endpoint")
        add_endpoint(NEW, STEP_MS if trouble else 0)
        started = time.monotonic()
        flows = []
        while time.monotonic() < started + 0.4:
            port = 1024 + len(flows)
            flow = client.open(port, deployment.ip(11))
            if flow is None or client.request(flow, f"first-{port}", deployment.ip(11)) is None:
                raise RuntimeError("a flow through the first entry is not served")
            flows.append(flow)
            time.sleep(0.001)
        time.sleep(max(0.0, started + RESTART_AFTER_S - time.monotonic()))
        record("planned: the agent is stopped and started again")
        deployment.kill(NEW, signal.SIGTERM)
        time.sleep(RESTART_S)
        deployment.start_agent(NEW, SERVICE)
        time.sleep(CONTACT_S + 2.0)
        return use_flows(deployment, client, flows, endpoints, record)
    finally:
        for endpoint in endpoints:
            endpoint.stop()
        deployment.stop()


def use_flows(deployment, client, flows, endpoints, record):
    """Sends further requests on the open flows through the other entry, as after a change of the rotation."""
    resets = 0
    for flow in flows:
        answer = client.request(flow, f"second-{flow['port']}", deployment.ip(12))
        resets += answer == "reset by the system"
    for endpoint in endpoints:
        holds = sum(known["open"] for known in endpoint.flows.values())
        record(f"{endpoint.name}: holds {holds} open flows, has run {len(endpoint.ran)} requests")
    record(f"open flows that the system reset while their endpoint lives: {resets} of {len(flows)}")
    client.stop()
    return resets > 0


main(FOLDER, case)
