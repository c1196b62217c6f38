"""Placement: on which engine there is room for a query, and what each would cost it."""

import zlib
from math import exp

from grebeproxy.policy.dealing import agreed
from grebeproxy.policy.interface import HealthCheck
from grebeproxy.policy.records import Job, Node
from grebeproxy.policy.rules import PART, WARY
from grebeproxy.policy.subset import Subset

BOUND, LONG = 2.0, 0.75  # threads per core under pressure; part of them at which long classes stop
PRESSURE = 1.4  # an engine shows pressure when its latency is this many times its best
UNCACHED_DATA_SET_COST = 0.75  # threads per core that a data set read afresh is worth in the choice of engine
PATIENCE = 4.0  # an engine that has been silent for this many expected run times is suspect
BARRED = 6.0  # threads per core that a load which holds the data set is worth to what waits for loads
HOME_FILL = 0.9  # part of the time that loads hold a data set at each of its home engines
OWN = 1.5  # threads per core over which a gateway's preference among home engines goes
BEYOND_HOME_COST = 7.0  # threads per core that each place beyond the home engines is worth to a load
HEALTH_CHECKS_PER_LONG_QUERY = 3  # engines probed before a long query goes to one of them
MOSTLY_OWN_CHOICE = 0.5  # below this share of routers that choose alike, a router's choice is mostly its own


class Placement(Subset):
    """Placement: on which engine there is room for a query, and what each would cost it."""

    def _pressure(self, e: Node) -> bool:
        """Latency well above the engine's best, of what ended or what is still out, or a full refusal."""
        return self.now < e.full_until or max(e.slow, e.lag) > PRESSURE * e.best

    def _has_capacity(self, e: Node, rank: int) -> bool:
        """One bound on our threads for all classes, under pressure only; long classes stop earlier."""
        if not self._pressure(e):
            return True
        whole, threads = BOUND * e.cores * self._warmth(e), self.order[rank].threads
        share, part = whole / e.sharers, LONG if rank else 1.0
        if share * part < threads:  # departure: a share below one query is dealt in whole ones
            return len(e.out) < self._quota_of_queries(e, whole * part / threads)
        return e.threads < share and (not rank or e.long_threads < LONG * share)

    def _over_fleet_bound(self, rank: int) -> bool:
        """Departure, where our share is below one query: all engines' shares, and one, bound all of ours."""
        threads, most = self.order[rank].threads, BOUND * self.cores * (LONG if rank else 1.0)
        if most >= threads * len(self.able):
            return False
        if rank:  # kept on average, as a part below one query would round to none or to one for every gateway
            ours = sum(e.long_threads for e in self.able)
            full = ours + threads / 2 > max(most, threads) or self.long_lately > most
            return (self.crowd > PRESSURE and full) or sum(e.granted for e in self.able) > self.memory > 0.0
        most = max(most, threads + self.widest)  # or one long query would bar all short ones
        return self.crowd > PRESSURE and sum(e.threads for e in self.able) + threads / 2 > most

    def _quota_of_queries(self, e: Node, whole: float) -> int:
        """Our part of so many queries of all gateways at an engine: whole ones, by turns all agree on."""
        turn = e.number + zlib.crc32(e.entry.id.encode())
        return int(whole) // e.sharers + (turn % e.sharers < int(whole) % e.sharers)

    def _cost(self, job: Job, e: Node) -> tuple[float, float]:
        """Threads per core, and what reading a data set afresh or overfilling the memory adds to them."""
        n, alike, data_set = self.s.balancers, self.alike, job.query.data_set  # others do as we, or the mean
        mean = (1.0 - alike) * e.cores / (n * self.cores)  # by size, or the largest would draw all gateways
        slow = max(1.0, min(4.0, max(e.slow, e.lag) / e.best))
        cost = self.s.prices.cross_zone * (e.entry.zone != self.s.zone) + (e is job.avoid)
        if e.memory:
            granted = e.granted + (e.sharers - 1) * alike * e.granted + (n - 1) * mean * self.granted
            cost += 4.0 * max(0.0, max(e.reported, granted / e.memory) + job.memory / e.memory - 0.9)
        if self.many:
            # Guards the fleet against an order that all share: popular data sets would jam the same engines.
            cost += (e.threads / e.cores + 1.0) * slow - self._warming_up(e)  # a cold one gets what is dealt
            return round(cost + (e.entry.id not in self.near), 1), self.rng.expovariate(1.0 / e.sharers)
        threads = e.threads + (n - 1) * (alike * e.threads + mean * self.threads) + alike * job.cls.threads
        cost += threads / e.cores * slow / self._warmth(e)
        if data_set is not None:
            cost += UNCACHED_DATA_SET_COST * alike * (data_set not in e.warm)
            homes, places = self._homes(data_set)
            place, unseen = places.get(e.entry.id, len(places)), 1.0 - 1.0 / n
            if job.cls.waits_for_loads:
                # What others' loads hold is not told: it is taken for held as likely as they are there.
                home = min(1.0, max(0.0, homes - place))
                cost += BARRED * (1.0 if e.barred(self.now, data_set) else unseen * HOME_FILL * home)
            if job.cls.locks_data_set:  # it would stand still until the other loads end
                cost += 2.0 * e.loading(data_set) + BEYOND_HOME_COST * unseen * max(0.0, place + 1.0 - homes)
                if place < homes:  # each gateway begins at another one: there it knows most of what is held
                    cost += OWN * ((place / homes - self.s.index / n) % 1.0)
        return cost, zlib.crc32(f"0/{data_set}/{e.entry.id}".encode())

    def _homes(self, data_set: int) -> tuple[float, dict[str, int]]:
        """How many engines loads need over all gateways, and their places; departure: in an agreed order."""
        if data_set not in self.homes:
            asked = self.sets[data_set].rate(self.now) if data_set in self.sets else 0.0
            part = asked / (self.asked.rate(self.now) or 1.0)
            need = part * self.loads.rate(self.now) * self.s.balancers / HOME_FILL
            places = {id: n for n, id in enumerate(agreed((e.entry.id for e in self.able), f"{data_set}/"))}
            self.homes[data_set] = min(need, max(0.0, len(places) - 1.0)), places  # one for what waits
        return self.homes[data_set]

    def _survey(self) -> None:
        n, now = self.s.balancers, self.now
        self._choose_subset()
        self.up = [e for e in self.nodes.values() if self.usable(e)]
        able = self.able = [e for e in self.up if e.ejected_at is None]
        self.homes.clear()
        self.weigh(WARY, PART)
        cold = [e for e in able if e.number >= 0 and self._warming_up(e)]
        self.cold_able = sum(e.cores * self._warmth(e) / e.sharers for e in cold)
        freshly = sum(e.cores * self._warmth(e) for e in cold) / self.paces[1]
        warm = sum(e.cores for e in able if e.number >= 0 and not self._warming_up(e)) / self.paces[0]
        self.cold_part = freshly / (freshly + warm or 1.0)
        of_all = len(self.rings[0]) / max(1, len(self.up)) if self.many else 1.0  # engines, over those we see
        self.cores = sum(e.cores * self._warmth(e) for e in able) * self.part / n * of_all or 1.0
        self.memory = sum(e.memory for e in able) * self.part / n * of_all
        mean = sum(len(e.out) for e in able) / max(1, len(able))
        self.alike = max(1.0 / n, mean / (1.0 + mean))
        # An engine's slowness fades to the pool's, the pool's to none, or refusing for it would never end.
        kept = exp((self.surveyed - now) / (PATIENCE * self.tight.latency_objective))
        self.fade(now, kept, sum(e.long_threads for e in self.summed()))

    def _pick(self, job: Job, able: list[Node]) -> Node | None:
        """The engine of least cost; departure: of the few cheapest for a long query the first probe back."""
        if not (job.rank and self.s.may_health_check and len(able) > 1 and self.alike < MOSTLY_OWN_CHOICE):
            return min(able, key=lambda e: self._cost(job, e))
        if job.asked_at is None or self.now > job.asked_at + 4 * self.pause:
            job.asked_at, job.asked = (
                self.now,
                sorted(able, key=lambda e: self._cost(job, e))[:HEALTH_CHECKS_PER_LONG_QUERY],
            )
            due = [e for e in self.up if e.ejected_at is not None and self.now >= e.trial_at][:1]
            for e in due:
                e.trial_at = self.now + e.backoff
            self.out.extend(HealthCheck(e.entry.id) for e in job.asked + due)
        told = [e for e in job.asked if e in able and e.probed_at > job.asked_at and e.probe < self.pause]
        if told:
            return min(told, key=lambda e: e.probe)
        rest = [e for e in able if e not in job.asked] or able
        return min(rest, key=lambda e: self._cost(job, e)) if self.now >= job.asked_at + self.pause else None
