"""One valid change of the desired state: 20 routes more. With the trouble, each new route has a rank of its own."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from loopback import *

FOLDER = os.path.dirname(os.path.abspath(__file__))
NEW_ROUTES = 20
# `config_propagation_ms` after the acknowledgement; the store, which is never disturbed, stretches it by nothing.
PROPAGATION_S = BOUNDS["config_propagation_ms"] / 1000


async def case(site, trouble):
    engines = [(f"i-{n}", "permit-desk") for n in range(4)] + [(f"m-{n}", "register-model") for n in range(6)]
    await site.start(document(7), engines, hosts=3)
    before = [await request(site.hosts[n % 3].routes, "/permit/x", f"before-{n}") for n in range(12)]
    if any(answer.status != 200 for answer in before):
        raise CannotRun("the site does not serve before the change")

    # Ranks 0 to 2 are in use. A rank is any whole number from 0 on; 0 is the highest.
    rank = lambda n: 3 + n if trouble else 2
    routes = default_routes() + [route(f"new-{n}", "idempotent", "permit-desk", priority=rank(n))
                                 for n in range(NEW_ROUTES)]
    site.store.put("op", "config", document(9, routes=routes))
    site.record.add(f"the store acknowledges desired state 9: {NEW_ROUTES} routes more")
    await asyncio.sleep(PROPAGATION_S + 0.5)

    unknown = refused = served = 0
    for n in range(60):
        host = site.hosts[n % 3]
        new = await request(host.routes, f"/new-{n % NEW_ROUTES}/x", f"new-{n}", method="GET")
        old = await request(host.routes, "/permit/x", f"old-{n}")
        site.record.add(f"{host.name}: new-{n} (on a new route) gets {new}, old-{n} (on an old route) gets {old}")
        unknown += new.status in (401, 403, 404)
        refused += old.status != 200
        served += (new.status == 200) + (old.status == 200)
        await asyncio.sleep(0.2)
    ready = [await host.is_ready() for host in site.hosts]
    site.record.add(f"of 60 requests on new routes {unknown} get 401, 403 or 404; of 60 on old routes {refused} are not "
                    f"served; hosts ready: {ready}")
    # CONFIG: refused with 404 though the desired state that is in force has the route.
    return unknown == 0


main(FOLDER, case)
