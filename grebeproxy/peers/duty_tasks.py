"""The asyncio tasks that do duties: one for each duty whose lease this router holds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from grebeproxy.membership.lease import Token
from grebeproxy.peers.duty_client import REPORT_TIMEOUT, report
from grebeproxy.peers.operator_file import Duty


class DutyTasks:
    """Starts and stops the tasks of duties; ``close`` ends them all.

    ``token`` returns the fencing token under which a duty may be done now, or ``None`` if it may not be done.
    ``on_rejected`` is called with a duty's name and the higher token that the receiver of the report has
    seen. ``log`` writes an event with its fields.
    """

    def __init__(
        self,
        duties: tuple[Duty, ...],
        token: Callable[[str], Token | None],
        on_rejected: Callable[[str, Token], None],
        log: Callable[..., None],
    ) -> None:
        self._duties = {duty.name: duty for duty in duties}
        self._token = token
        self._on_rejected = on_rejected
        self._log = log
        self._current_tasks: dict[str, asyncio.Task[None]] = {}  # latest task of each duty, by its name
        self._unfinished: set[asyncio.Task[None]] = set()  # all that have not ended, including cancelled ones

    def start(self, name: str) -> None:
        """Start the task of a duty; an earlier task of that duty is cancelled."""
        self.stop(name)
        task = asyncio.get_running_loop().create_task(self._run(self._duties[name]))
        self._current_tasks[name] = task
        self._unfinished.add(task)
        task.add_done_callback(self._unfinished.discard)

    def stop(self, name: str) -> None:
        """Cancel the task of a duty, if there is one."""
        if (task := self._current_tasks.pop(name, None)) is not None:
            task.cancel()

    def stop_all(self) -> None:
        """Cancel all tasks."""
        for name in list(self._current_tasks):
            self.stop(name)

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        self.stop_all()
        await asyncio.gather(*self._unfinished, return_exceptions=True)

    async def _run(self, duty: Duty) -> None:
        """Do a duty for as long as this router holds its lease, which is checked before each report."""
        while (token := self._token(duty.name)) is not None:
            await self._report(duty, token)
            await asyncio.sleep(duty.interval)

    async def _report(self, duty: Duty, token: Token) -> None:
        try:
            async with asyncio.timeout(REPORT_TIMEOUT):
                higher = await report(duty, token)
        except (TimeoutError, OSError) as error:
            self._log("peers.duty.failed", duty=duty.name, reason=str(error) or "no answer in time")
            return
        if higher is not None:
            self._log("peers.duty.rejected", duty=duty.name, ballot=token[0], highest_ballot=higher[0])
            # The call cancels this task, so it must not run within it.
            asyncio.get_running_loop().call_soon(self._on_rejected, duty.name, higher)
