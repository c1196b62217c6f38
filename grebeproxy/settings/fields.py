"""The keys of the settings' JSON form, which the operators define. Times are in milliseconds.

These types describe a valid file. The contents of an actual file are checked only when the file is decoded.
"""

from __future__ import annotations

from typing import Literal, NotRequired, TypedDict


class CategoryFields(TypedDict):
    """A class of queries."""

    name: str
    aim: float  # the latency objective
    deadline: float
    effect: Literal["retryable", "dedup", "fragile"]
    importance: NotRequired[float]
    lateShare: NotRequired[float]
    aimStretch: NotRequired[float]
    group: NotRequired[str]
    window: NotRequired[float | None]
    inTurn: NotRequired[bool]
    confinedTo: NotRequired[list[str] | None]  # zones
    servedOn: NotRequired[list[str] | None]  # kinds of engines
    stream: NotRequired[bool]


class FamilyFields(TypedDict, total=False):
    """Properties of the engines. Lists hold one value for each category or for each kind of engine."""

    dop: list[int]  # degree of parallelism in threads, by category
    holdsTables: list[bool]  # whether queries lock their data set, by category
    yieldsToLoads: list[bool]  # whether queries wait for loads, by category
    cpuOfKind: list[float]  # cores, by kind of engine
    kindMemoryMb: list[float]  # memory by kind of engine
    memoryHeeded: bool
    largestShare: float
    overbooked: str
    takesPriority: bool
    progress: float
    bills: bool


class LimitFields(TypedDict):
    """Limits and permissions of a router."""

    mostTries: int
    retryAfter: NotRequired[bool]
    maxRetryAfter: NotRequired[float]
    connectTimeout: NotRequired[float]
    cancel: NotRequired[bool]
    probing: NotRequired[bool]
    mayTell: NotRequired[bool]
    secondCopies: NotRequired[bool]
    connIdle: NotRequired[float]
    multiplex: NotRequired[int]
    maxOpen: NotRequired[int]


class ObligationFields(TypedDict):
    """Rules that a router has to follow."""

    stopSendingWithin: float
    coldFrom: float
    rampTime: float
    overloadFactor: float
    overloadFor: float
    answerSlack: NotRequired[float]
    keyQuiet: NotRequired[float]
    askWithin: NotRequired[float]
    countedOver: NotRequired[float]
    extraFloor: NotRequired[float]
    extraPerRequest: NotRequired[float]


class PriceFields(TypedDict, total=False):
    """Costs that the decision module weighs."""

    crossZone: float
    waste: float
    probe: float
    lateFail: float
    peer: float


class OrgFields(TypedDict):
    """A tenant."""

    name: str
    allowancePerS: float
    share: NotRequired[float]


class StatFields(TypedDict, total=False):
    """Load reports: their columns and how engines send them."""

    columns: list[str]
    via: str


class ClientFields(TypedDict, total=False):
    """Properties of the clients."""

    marksRetry: bool


class SettingsFields(TypedDict):
    """The settings of one router."""

    balancers: int
    me: int
    zone: str
    zones: list[str]
    kinds: list[str]
    categories: list[CategoryFields]
    limits: LimitFields
    obligations: ObligationFields
    familyInfo: NotRequired[FamilyFields]
    prices: NotRequired[PriceFields]
    stats: NotRequired[StatFields]
    orgs: NotRequired[list[OrgFields]]
    clients: NotRequired[ClientFields]
    overShareWorth: NotRequired[float]
    registryMode: NotRequired[str]
    round: NotRequired[float]
