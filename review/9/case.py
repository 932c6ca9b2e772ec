"""Machines are stopped and started in turn; the directory sends requests whose route has homes to other regions."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
from standins import HOST, Case, play, read_body, read_head  # noqa: E402

ZONES = {"east-a": "east", "east-b": "east", "west-a": "west", "west-b": "west"}
LIMITS = {"east-a": {"link_mbps": 10.0}, "east-b": {"link_mbps": 10.0}, "west-a": {"link_mbps": 200.0}, "west-b": {"link_mbps": 200.0}}
CLIENTS = 8
CALM_S = 16.0  # the rule asks for 15 s without an unplanned disruption
GAP_S = 2.0


def make(folder):
    return Case(folder, ZONES, list(ZONES))


async def resolve(case, name, zone):
    """Addresses and lifetime that the directory on a machine answers; None without an answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*case.address(name, "directory")), 1)
        target = f"/resolve?name={HOST}&region={ZONES[zone]}&zone={zone}"
        writer.write(f"GET {target} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n".encode())
        head = await asyncio.wait_for(read_head(reader), 1)
        if head is None or " 200 " not in head[0]:
            return None
        answer = json.loads(await read_body(reader, head[1]))
        return answer["addresses"], float(answer["ttl"].rstrip("ms")) / (1000 if answer["ttl"].endswith("ms") else 1)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def client(case, zone, counts):
    """Asks the directory, nearest machine first, keeps the answer for its lifetime and sends requests to the addresses in it."""
    nearest = sorted(case.settings, key=lambda name: (case.settings[name]["zone"] != zone, ZONES[case.settings[name]["zone"]] != ZONES[zone]))
    names = {settings["listen"]["front"]: name for name, settings in case.settings.items()}
    addresses, until = [], 0.0
    while not counts["over"]:
        if case.record.now() >= until:
            for name in nearest[:3]:
                answer = await resolve(case, name, zone)
                if answer:
                    addresses, until = answer[0], case.record.now() + answer[1]
                    case.record.write(f"client in {zone}: the directory names {[names[address] for address in addresses]}")
                    break
        if addresses:
            chosen = names[case.random.choice(addresses)]
            attempt, status, _, _ = await case.request(chosen, "/files/1", method="POST", body=b"a body that must stay in its region")
            if status is None:
                addresses = [address for address in addresses if names[address] != chosen]
            region = ZONES[case.settings[chosen]["zone"]]
            counts["sent"] += 1
            if region != "east":
                counts["away"] += 1
                case.record.write(f"{attempt}: client in {ZONES[zone]}, home east, body sent to a machine in {region}")
        await asyncio.sleep(0.1)


async def steps(case):
    for number in range(6):
        await case.backend(f"e-{number}", "records", "east-a" if number % 2 else "east-b")
        await case.backend(f"w-{number}", "records", "west-a" if number % 2 else "west-b")
    case.configure([case.route("files", "records", kind="unsafe", allowed_regions=["east"]), case.service("records"), case.limits()])
    await case.start_entries(LIMITS)
    await asyncio.sleep(CALM_S)
    counts = {"sent": 0, "away": 0, "over": False}
    clients = [asyncio.create_task(client(case, "east-a" if number % 2 else "east-b", counts)) for number in range(CLIENTS)]
    await asyncio.sleep(2)
    for name in list(case.settings):
        if case.trouble:
            await case.stop_and_start(name)
        await asyncio.sleep(GAP_S)
    counts["over"] = True
    await asyncio.gather(*clients)
    if counts["away"] * 20 > counts["sent"]:
        return f"HOME: {counts['away']} of {counts['sent']} requests were sent to machines outside their home, as the directory named them"
    return None


if __name__ == "__main__":
    play(make, steps, FOLDER)
