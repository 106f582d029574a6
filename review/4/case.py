"""An accepted config names a service with 35 letters; the routers go on with the version before it."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
import standins
from standins import Case, Server, Store, Unable, config

LONG_NAME = "customer-notification-dispatcher-eu"
SHORT_NAME = "dispatcher-eu"
CONTACT_S = 3.0
# The bound is 2 s; the machines get four times as long.
WAIT_S = 8.0


def run(case):
    name = LONG_NAME if case.trouble else SHORT_NAME
    route = ("/look/", "safe", "tagboard", "2000ms", "600ms", 2)
    case.store = Store(case.ip(1), era=1)
    case.store.write("config/main", config([route], [("tagboard", False)], 7))
    Server(case, case.ip(2), "i-1", "tagboard").register()
    Server(case, case.ip(3), "i-2", name).register()
    routers = [case.router(1), case.router(2)]
    for router in routers:
        router.wait_ready()
    time.sleep(CONTACT_S + 0.5)
    for router in routers:
        _, head, _ = case.send(router, "GET", "/look/x")
        if head is None or b"by i-1" not in head.body:
            raise Unable("the first config is not in force")
    route = ("/look/", "safe", name, "2000ms", "600ms", 2)
    case.store.write("config/main", config([route], [("tagboard", False), (name, False)], 9))
    case.record.add(f"the store has acknowledged version r9, which moves the route to {name}")
    time.sleep(WAIT_S)
    for router in routers:
        for _ in range(5):
            rid, head, _ = case.send(router, "GET", "/look/x")
            if head is not None and b"by i-1" in head.body:
                case.broken(f"CONFIG: {rid}, sent over {WAIT_S:.0f} s after the ack of r9 to "
                            f"{router.name}, was run by the old service")


standins.main(FOLDER, run)
