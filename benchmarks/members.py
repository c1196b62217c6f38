"""What membership costs and how soon it finds a failed router, with many cores on one simulated clock.

    python benchmarks/members.py [MEMBERS ...]

Times are simulated seconds with the default period of 0.5 s; bytes are those of sealed packets without
UDP's own.
"""

from __future__ import annotations

import statistics
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from members import Net

from grebeproxy.membership import Send
from grebeproxy.membership.wire import Sealed, packed


class Weighed(Net):
    """Counts the bytes of what is sent."""

    weight = 0

    def carry_out(self, n, core, effects):  # type: ignore[no-untyped-def]
        """As before, with each packet sealed."""
        sealed = Sealed(b"k" * 16, core.me.instance, 1)
        self.weight += sum(len(sealed.seal([1, packed(e.message)])) for e in effects if isinstance(e, Send))
        super().carry_out(n, core, effects)


def joined(n: int, seed: int, loss: float) -> Weighed:
    """All know each other, and it is quiet."""
    net = Weighed(seed, n)
    net.start(*range(n))
    net.until(lambda: net.agree(range(n)), 120.0)
    net.loss = loss
    net.run(20.0)
    return net


def cost(n: int) -> str:
    """What each member sends a second in 20 quiet ones."""
    net = joined(n, 1, 0.0)
    sent, weight = net.sent, net.weight
    net.run(20.0)
    packets, weight = (net.sent - sent) / n / 20, (net.weight - weight) / n / 20
    return f"{n:5} members: {packets:5.1f} packets, {weight:6.0f} bytes a second and member"


def found(n: int, loss: float, plays: int) -> str:
    """How soon a killed one has failed for the first and for all, and who failed that had not."""
    first, last, alarms, refuted = [], [], 0, 0
    for seed in range(plays):
        net = joined(n, seed, loss)
        net.told.clear()
        net.run(60.0)
        alarms += len({name for _, _, word, name in net.told if word == "failed"})
        net.told.clear()
        net.kill(n // 2)
        began = net.now
        gone = f"n{n // 2}"
        net.until(
            lambda net=net, gone=gone: all(  # type: ignore[misc]
                gone not in core.view.members for core in net.cores.values()
            ),
            120.0,
        )
        times = [at - began for at, _, word, name in net.told if word == "failed" and name == gone]
        first.append(min(times))
        last.append(max(times))
        refuted += len({name for _, _, word, name in net.told if word == "failed" and name != gone})
    return (
        f"{n:5} members, {loss:3.0%} loss: failed for the first after {statistics.median(first):4.1f} s, "
        f"for all after {statistics.median(last):4.1f} s (most {max(last):4.1f}); "
        f"{alarms + refuted} false alarms in {plays} plays of a minute"
    )


def main() -> None:
    """Print all figures."""
    sizes = [int(word) for word in sys.argv[1:]] or [3, 50, 200]
    for n in sizes:
        print(cost(n), flush=True)
    for loss in (0.0, 0.1, 0.3):
        print(found(9, loss, 20), flush=True)
        print(found(50, loss, 3), flush=True)


if __name__ == "__main__":
    main()
