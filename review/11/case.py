"""A configuration after a drill of the store never comes into force at the machines that run.

The operator moves a route from `first` to `second` in the seconds that the drill takes back, writes it again, and then moves it to `third`.
"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
import standins as s

AWAY = 1.0  # seconds that the store is away
CONTACT, CONFIG_APPLY = 3.0, 2.0


def config(version, name):
    return s.configuration(version, [s.route("r-move", "/move/", name, "unsafe"), *[s.service(x) for x in ("first", "second", "third")]])


async def case(record, trouble):
    deployment = s.Deployment(record, {"ekm-east": ("ernakulam", 2), "mlb-north": ("malabar", 1)})
    store = deployment.store
    try:
        await store.start(deployment.store_host)
        backends = []
        for number in range(12):
            name = ("first", "second", "third")[number % 3]
            backend = s.Backend(record, store, deployment.backend_host(), f"i-{name}-{number}", name, ("ekm-east", "mlb-north")[number // 3 % 2])
            await backend.start()
            backends.append(backend)
        current = config(3, "first")
        store.put("op", "config", current)
        await deployment.start()
        await deployment.ready()
        await asyncio.sleep(4)
        store.take_copy()
        record(f"copy     of the store at version {store.version}")
        await asyncio.sleep(3.5)
        current = config(5, "second")
        record(f"operator configuration 5 (route to `second`) acknowledged at store version {store.put('op', 'config', current)}")
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
        await asyncio.sleep(0.5)
        record(f"operator configuration 8 (route to `third`) acknowledged at store version {store.put('op', 'config', config(8, 'third'))}")
        acknowledged = time.monotonic()
        # From here on all machines are in touch, the store is stable, and the bound has passed; a second is added.
        await asyncio.sleep(max(back + CONTACT, acknowledged + CONFIG_APPLY) + 1 - time.monotonic())
        sent = {}
        for _ in range(40):
            for entry in deployment.entries:
                request_id, at, status, _ = await s.request(deployment, entry, "/move/x", "POST")
                sent[request_id] = (entry.name, at - acknowledged, status)
            await asyncio.sleep(0.5)
        broken = []
        for backend in backends:
            for _, request_id in backend.runs:
                if request_id in sent and backend.service != "third":
                    name, after, status = sent[request_id]
                    broken.append(f"{request_id}, sent {after:.1f} s after the acknowledgement, was run by `{backend.service}` for {name}, status {status}")
        if not any(status == 200 for _, _, status in sent.values()):
            raise s.CannotRun("no request was served")
        return broken
    finally:
        await deployment.end()


s.main(case)
