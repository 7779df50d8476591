"""An agent is killed and started again; flows that were used right after its start never reach their upstream again."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import testbed

SERVICE = "feed"
PORT = 8443
FLOWS = 160
PAUSE_S = 6.0
DOWN_S = 1.6
RUN_S = 26.0
BODY_BYTES = 3000


def drive(bed, flow, name, phase_s, ends_at, results):
    """Sends a request of three packets on the flow every PAUSE_S, until one is not answered."""
    time.sleep(phase_s)
    turn = 0
    while time.monotonic() < ends_at and flow.reset_at is None:
        turn += 1
        sent, request = bed.record.now(), f"{name}-{turn}"
        outcome = flow.request(request, BODY_BYTES, 3.0)
        results.append((sent, flow.key, outcome))
        bed.record.write(f"client: {request} on {flow.client.ip}:{flow.sport}, sent at {sent:.3f} s: {outcome}")
        if outcome != "answered":
            return
        time.sleep(max(0.0, PAUSE_S - (bed.record.now() - sent)))


def case(bed, trouble):
    bed.write_manifest({PORT: SERVICE})
    for number in (1, 2):
        bed.add_entry(number)
    for number in range(1, 5):
        bed.add_agent(number, SERVICE)
    time.sleep(1.0)
    for number in range(1, 5):
        bed.add_upstream(number, SERVICE)
    if not bed.start_routers():
        raise RuntimeError("the entries did not become ready")
    time.sleep(1.0)
    client, flows, results, threads = bed.client(), [], [], []
    for _ in range(FLOWS):
        flow = client.flow(PORT)
        if flow.open():
            flows.append(flow)
    bed.record.say(f"{len(flows)} of {FLOWS} flows open")
    ends_at = time.monotonic() + RUN_S
    for index, flow in enumerate(flows):
        phase = PAUSE_S * index / len(flows)
        thread = threading.Thread(target=drive, args=(bed, flow, f"q{index}", phase, ends_at, results))
        thread.start()
        threads.append(thread)
    time.sleep(7.0)
    started = bed.record.now()
    if trouble:
        bed.agents[1].kill()
        time.sleep(DOWN_S)
        bed.agents[1].start()
        started = bed.record.now()
    for thread in threads:
        thread.join()
    time.sleep(testbed.FLOW_S + 0.5)

    # All machines are in touch again CONTACT_S after the agent was started.
    in_touch = started + testbed.CONTACT_S
    late = [outcome for sent, _, outcome in results if sent >= in_touch]
    bed.record.say(
        f"requests sent while all machines are in touch again: {len(late)}, "
        f"of which not answered: {sum(outcome != 'answered' for outcome in late)}"
    )
    broken = []
    for start, key, holder, others in bed.misrouted(in_touch):
        broken.append(
            f"FLOW (b): from {start:.3f} s, {start - started:.1f} s after the agent's start, three or more packets of "
            f"flow {key[0]}:{key[1]}, open at {holder}, reached {', '.join(others)} and none its own for 2 s"
        )
    for at, key, genuine in bed.resets:
        if key in bed.holders and not genuine and at >= in_touch:
            broken.append(f"FLOW (a): flow {key[0]}:{key[1]} was reset by the system at {at:.3f} s")
    return broken


testbed.run(case, Path(__file__).resolve().parent)
