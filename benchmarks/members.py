"""Measures the cost of membership and the time to detect a failure, with many routers on one simulated clock.

    python benchmarks/members.py [MEMBERS ...]

Times are simulated seconds with the default period of 0.5 s. Bytes are those of sealed packets, without UDP
headers.
"""

from __future__ import annotations

import statistics
import sys
from collections.abc import Iterable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from simulated_members import SimulatedNetwork

from grebeproxy.membership import Effect, Membership, Send
from grebeproxy.membership.wire import PacketCodec, pack_message

DEFAULT_SIZES = [3, 50, 200]
QUIET_SECONDS = 20.0
FALSE_ALARM_SECONDS = 60.0
MAX_SECONDS = 120.0  # limit for all members to agree
FAILURE_RUNS = ((9, 20), (50, 3))  # pairs of a number of members and a number of seeds to run


class ByteCountingNetwork(SimulatedNetwork):
    """A simulated network that counts the bytes that members send."""

    sent_bytes = 0

    def carry_out(self, slot: int, membership: Membership, effects: Iterable[Effect]) -> None:
        """Carry out the effects, and seal each packet to count its bytes."""
        effects = list(effects)
        codec = PacketCodec(b"k" * 16, membership.me.instance, 1)
        for effect in effects:
            if isinstance(effect, Send):
                self.sent_bytes += len(codec.seal([1, pack_message(effect.message)]))
        super().carry_out(slot, membership, effects)


def converged_network(members: int, seed: int, loss: float) -> ByteCountingNetwork:
    """Return a network in which all members know each other and gossip has ended."""
    network = ByteCountingNetwork(seed, members)
    network.start(*range(members))
    network.run_until(lambda: network.agree(range(members)), MAX_SECONDS)
    network.loss = loss
    network.run(QUIET_SECONDS)
    return network


def quiet_cost(members: int) -> str:
    """Describe what each member sends per second while nothing changes."""
    network = converged_network(members, 1, 0.0)
    sent_before = network.sent_count
    bytes_before = network.sent_bytes
    network.run(QUIET_SECONDS)
    packets = (network.sent_count - sent_before) / members / QUIET_SECONDS
    sent_bytes = (network.sent_bytes - bytes_before) / members / QUIET_SECONDS
    return f"{members:5} members: {packets:5.1f} packets, {sent_bytes:6.0f} bytes a second and member"


def failure_detection(members: int, loss: float, runs: int) -> str:
    """Describe how soon the first and the last member declare a killed one failed, and count false alarms."""
    first_detections = []
    last_detections = []
    false_alarms = 0
    for seed in range(runs):
        network = converged_network(members, seed, loss)
        network.notices.clear()
        network.run(FALSE_ALARM_SECONDS)
        false_alarms += len({notice.name for notice in network.failures()})
        network.notices.clear()
        killed = f"n{members // 2}"
        network.kill(members // 2)
        killed_at = network.now
        network.run_until(
            lambda network=network, killed=killed: all(  # type: ignore[misc]
                killed not in membership.view.members for membership in network.memberships.values()
            ),
            MAX_SECONDS,
        )
        failures = network.failures()
        times = [notice.time - killed_at for notice in failures if notice.name == killed]
        first_detections.append(min(times))
        last_detections.append(max(times))
        false_alarms += len({notice.name for notice in failures if notice.name != killed})
    return (
        f"{members:5} members, {loss:3.0%} loss: "
        f"failed for the first after {statistics.median(first_detections):4.1f} s, "
        f"for all after {statistics.median(last_detections):4.1f} s (most {max(last_detections):4.1f}); "
        f"{false_alarms} false alarms in {runs} runs of a minute"
    )


def main() -> None:
    """Print the costs of quiet networks and the times to detect failures."""
    sizes = [int(argument) for argument in sys.argv[1:]] or DEFAULT_SIZES
    for members in sizes:
        print(quiet_cost(members), flush=True)
    for loss in (0.0, 0.1, 0.3):
        for members, runs in FAILURE_RUNS:
            print(failure_detection(members, loss, runs), flush=True)


if __name__ == "__main__":
    main()
