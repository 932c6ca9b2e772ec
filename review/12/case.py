"""After a drill of the store, machines that follow other machines of their zone do not learn of an evacuation.

One zone has six machines. Three of them read the store; the others take the changes from these. The operator sends a configuration in the
seconds that the drill takes back, writes it again, and then evacuates a zone.
"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
import standins as s

AWAY = 0.4  # seconds that the store is away
CONTACT, EVACUATE = 3.0, 5.0


async def case(record, trouble):
    deployment = s.Deployment(record, {"ekm-east": ("ernakulam", 6), "ekm-west": ("ernakulam", 1)})
    store = deployment.store
    try:
        await store.start(deployment.store_host)
        backends = []
        for number in range(12):
            backend = s.Backend(record, store, deployment.backend_host(), f"i-{number}", "ledger", ("ekm-east", "ekm-west")[number % 2])
            await backend.start()
            backends.append(backend)
        resources = [s.route("r-hold", "/hold/", "ledger", "unsafe"), s.service("ledger")]
        current = s.configuration(3, resources)
        store.put("op", "config", current)
        await deployment.start()
        await deployment.ready()
        await asyncio.sleep(6)  # the members of the zone know each other and have chosen who reads the store
        store.take_copy()
        record(f"copy     of the store at version {store.version}")
        await asyncio.sleep(3.5)
        current = s.configuration(5, resources + [s.route("r-new", "/new/", "ledger")])
        record(f"operator configuration 5 (one more route) acknowledged at store version {store.put('op', 'config', current)}")
        await asyncio.sleep(0.5)
        if trouble:
            record(f"store    away at version {store.version}, connections reset")
            store.go_away()
        await asyncio.sleep(AWAY)
        if trouble:
            store.come_back(True)
            record(f"store    back from the copy, version {store.version}, era {store.era}")
            record(f"operator configuration 5 written again, store version {store.put('op', 'config', current)}")
            for backend in backends:
                backend.write()
        back = time.monotonic()
        await asyncio.sleep(1)
        record(f"operator evacuation of ekm-east acknowledged at store version {store.put('op', 'evacuate/ekm-east', '{}')}")
        acknowledged = time.monotonic()
        # From here on all machines are in touch, the store is stable, and the bound has passed; a second is added.
        await asyncio.sleep(max(back + CONTACT, acknowledged + EVACUATE) + 1 - time.monotonic())
        sent = {}
        for _ in range(40):
            for entry in deployment.entries:
                request_id, at, status, _ = await s.request(deployment, entry, "/hold/x", "POST")
                sent[request_id] = (entry.name, at - acknowledged, status)
            await asyncio.sleep(0.4)
        broken = []
        for backend in backends:
            for _, request_id in backend.runs:
                if request_id in sent and backend.zone == "ekm-east":
                    name, after, status = sent[request_id]
                    broken.append(f"{request_id}, sent {after:.1f} s after the acknowledgement, reached {backend.name} in ekm-east from {name}")
        if not any(status == 200 for _, _, status in sent.values()):
            raise s.CannotRun("no request was served")
        return broken
    finally:
        await deployment.end()


s.main(case)
