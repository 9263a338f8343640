"""The scenarios of the decision recordings: fleet, traffic and settings."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from dunepulley.routing.settings import Idempotency

START_MS = 100_000.0
# Request timeouts in ms, drawn at random; two of nine clients use a shorter one.
TIMEOUTS_MS = (3000.0,) * 7 + (900.0, 2500.0)

BASE_SETTINGS = {
    "balancers": 4.0,
    "me": 1.0,
    "zone": "a",
    "categories.count": 3.0,
    "categories.0.name": "look",
    "categories.0.effect": Idempotency.IDEMPOTENT,
    "categories.0.payoff": 5.0,
    "categories.0.dueTimeMs": 500.0,
    "categories.0.expiryMs": 3000.0,
    "categories.1.name": "store",
    "categories.1.effect": Idempotency.KEYED,
    "categories.1.keyScope": "cell",
    "categories.1.windowMs": 2500.0,
    "categories.1.dueTimeMs": 800.0,
    "categories.1.expiryMs": 4000.0,
    "categories.2.name": "pay",
    "categories.2.effect": Idempotency.NON_IDEMPOTENT,
    "categories.2.dueTimeMs": 600.0,
    "categories.2.expiryMs": 2000.0,
    "familyInfo.tellsStart": True,
    "familyInfo.progressMs": 50.0,
    "clients.marksRetry": True,
    "policyLimits.mostHandOffs": 4.0,
    "policyLimits.cancel": True,
    "policyLimits.secondCopies": False,
    "policyLimits.connIdleMs": 10000.0,
    "policyLimits.connectTimeoutMs": 100.0,
    "rules.coldFrom": 0.2,
    "rules.coldMs": 20000.0,
    "rules.fallMultiple": 4.0,
    "rules.tipAfterMs": 1000.0,
}


@dataclass
class Scenario:
    """One simulated scenario; times are in seconds, rates per second, unless a name ends with `_ms`."""

    name: str
    endpoints: int
    seed: int = 1
    length_s: float = 10.0
    rate: float = 40.0
    list_changes: float = 2.0
    settings: dict[str, Any] = field(default_factory=dict)
    slots: int = 4
    queue: int = 2
    run_ms: float = 120.0
    # The mean fraction of the slots that other dispatchers use; it varies by endpoint and over time.
    background: float = 0.15
    # The fraction of attempts that fail.
    faults: float = 0.02
    # The fraction of attempts that wait behind other requests, a wait that load reports do not show.
    stalls: float = 0.03
    reports: bool = True
    hints: bool = False
    keys: int = 0
    tenants: int = 0
    classes: tuple[str, ...] = ("look", "store", "pay")
    sizes: tuple[float, ...] = (1.0,)
    kinds: tuple[str, ...] = ("box",)
    gossip: bool = False
    # The fraction of clients that disconnect before the response.
    disconnected: float = 0.01
    streaming: float = 0.1
    cold_at_start: float = 0.0
    full_lists: float = 0.0
    hot_restart: bool = False
    crash_s: float = 0.0
    late_alarms: float = 0.0
    weights: tuple[float, ...] = (1.0, 2.0)

    def all_settings(self) -> dict[str, Any]:
        """The dispatcher's settings: `BASE_SETTINGS`, those of the scenario and those of its tenants."""
        settings = BASE_SETTINGS | self.settings
        if self.tenants:
            settings |= {"parties.count": float(self.tenants), "overagePayoff": 0.2}
            for number in range(self.tenants):
                settings |= {
                    f"parties.{number}.name": f"t{number}",
                    f"parties.{number}.share": 1 / self.tenants,
                }
        return settings


LARGE_FLEET = {"balancers": 200.0, "me": 17.0}
GOSSIP = {"policyLimits.peers": True}

SCENARIOS = (
    Scenario("plain-8", 8, rate=30.0, hints=True, settings={"clients.marksRetry": False}),
    Scenario(
        "copies-40",
        40,
        settings={"policyLimits.secondCopies": True},
        faults=0.08,
        run_ms=250.0,
        background=0.8,
    ),
    Scenario(
        "untold-starts-30",
        30,
        settings={"familyInfo.tellsStart": False, "policyLimits.cancel": False, "reporting.fields": "queue"},
        faults=0.05,
        background=0.6,
    ),
    Scenario(
        "probes-12",
        12,
        rate=20.0,
        reports=False,
        stalls=0.3,
        settings={
            "policyLimits.probing": True,
            "reporting.how": "probe",
            "prices.probe": 0.01,
            "policyLimits.retryAfter": True,
            "policyLimits.maxRetryAfterMs": 500.0,
        },
        background=0.8,
    ),
    Scenario(
        "answers-asked-24",
        24,
        background=0.95,
        settings={"policyLimits.probing": True, "reporting.how": "answers", "balancers": 3.0},
    ),
    Scenario("gossip-30", 30, settings=GOSSIP | {"balancers": 12.0, "me": 5.0}, gossip=True, background=0.6),
    Scenario("gossip-relay-60", 60, settings=GOSSIP | {"balancers": 12.0, "me": 4.0}, gossip=True, rate=60.0),
    Scenario(
        "keys-tenants-48",
        48,
        keys=12,
        tenants=4,
        hints=True,
        rate=80.0,
        settings={"payoffBy": "work", "clients.marksRetry": True, "prices.handshake": 0.02},
    ),
    Scenario(
        "near-kept-20",
        20,
        rate=60.0,
        settings={"prices.crossZone": 0.05, "prices.handshake": 0.05},
        cold_at_start=0.2,
        full_lists=0.2,
    ),
    Scenario(
        "kinds-live-36",
        36,
        kinds=("box", "slab"),
        settings={
            "weightSource": "live",
            "familyInfo.classKind": (-1.0, 0.0, 1.0),
            "familyInfo.classStretch": (0.5, 2.0),
            "kinds": ("box", "slab"),
        },
        list_changes=8.0,
        hints=True,
    ),
    Scenario("full-crash-16", 16, rate=120.0, run_ms=200.0, background=0.4, crash_s=6.0, late_alarms=0.02),
    Scenario("idle-full-10", 10, rate=6.0, background=0.9, faults=0.1, queue=0, length_s=30.0),
    Scenario(
        "lanes-80",
        80,
        settings=LARGE_FLEET,
        sizes=(0.3, 1.0, 2.5),
        hints=True,
        rate=40.0,
        cold_at_start=0.1,
        hot_restart=True,
        full_lists=0.1,
        weights=(1.0, 2.0, 3.0),
    ),
    Scenario(
        "lanes-busy-60",
        60,
        settings=LARGE_FLEET,
        sizes=(0.3, 1.0, 6.0),
        rate=50.0,
        background=0.9,
        faults=0.1,
    ),
    Scenario(
        "zone-group-50",
        50,
        settings={"categories.1.keyScope": "zone"},
        classes=("store",),
        faults=0.2,
        background=0.9,
    ),
    Scenario(
        "all-group-50", 50, settings={"categories.1.keyScope": "all"}, classes=("store", "pay"), faults=0.2
    ),
    Scenario(
        "no-cancel-25",
        25,
        settings={"policyLimits.cancel": False, "clients.marksRetry": False},
        rate=60.0,
        faults=0.1,
    ),
    Scenario("lanes-200", 200, settings=LARGE_FLEET, length_s=25.0, classes=("look",), full_lists=0.1),
    Scenario(
        "lanes-kept-400",
        400,
        length_s=20.0,
        settings=LARGE_FLEET | {"prices.handshake": 0.02},
        sizes=(0.5, 3.0),
        hints=True,
    ),
    Scenario(
        "lanes-3200",
        3200,
        length_s=20.0,
        settings=LARGE_FLEET,
        slots=1,
        run_ms=300.0,
        hints=True,
        sizes=(0.3, 1.0, 4.0),
        background=0.5,
    ),
    Scenario("stalls-40", 40, stalls=0.3, settings={"policyLimits.secondCopies": True}, length_s=20.0),
    Scenario(
        "lanes-3200-full", 3200, settings=LARGE_FLEET, slots=1, background=1.5, length_s=8.0, faults=0.1
    ),
    Scenario(
        "wide-3200", 3200, length_s=20.0, settings={"balancers": 3.0}, cold_at_start=0.05, full_lists=0.2
    ),
    Scenario(
        "wide-1600-gossip",
        1600,
        settings=GOSSIP | {"balancers": 40.0, "me": 0.0},
        gossip=True,
        keys=20,
        rate=80.0,
    ),
    Scenario(
        "kept-3200",
        3200,
        length_s=20.0,
        settings=LARGE_FLEET | {"prices.handshake": 0.05},
        classes=("look",),
        rate=60.0,
    ),
)
# Scenarios whose recordings are small and quick enough for the tests.
SMALL = (
    "copies-40",
    "gossip-relay-60",
    "keys-tenants-48",
    "kinds-live-36",
    "lanes-80",
    "probes-12",
    "zone-group-50",
)
