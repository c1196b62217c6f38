"""The keys of the settings' JSON form, which the operators chose. Times are in milliseconds.

These types say what a file should hold; only reading it checks what it does hold.
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
    """What the deployment's engines do. Lists hold a value for each category, or for each kind of engine."""

    dop: list[int]  # threads, by category
    holdsTables: list[bool]  # by category
    yieldsToLoads: list[bool]  # by category
    cpuOfKind: list[float]  # cores, by kind
    kindMemoryMb: list[float]  # by kind
    memoryHeeded: bool
    largestShare: float
    overbooked: str
    takesPriority: bool
    progress: float
    bills: bool


class LimitFields(TypedDict):
    """What a router may do."""

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
    """The rules that a router keeps."""

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
    """Costs that decisions weigh."""

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
    """Load reports: their columns, and how they come."""

    columns: list[str]
    via: str


class ClientFields(TypedDict, total=False):
    """What clients do."""

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
