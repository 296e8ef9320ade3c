"""Start, reload and stop of a balancer on sockets, and the work that comes round."""

from __future__ import annotations

import asyncio
import gc
import signal
import statistics
import sys
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING, TextIO, cast

import structlog

from ospreyline.facts import FactError, Post
from ospreyline.net.clients import Clients
from ospreyline.net.turn import Turn, clock

if TYPE_CHECKING:
    from ospreyline.operator import Operator

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
TIDY = 0.25  # s between two rounds over idle connections and silent calls
COUNTS = 20  # rounds between two lines of counts
KEEP_ACCEPTING = 0.5  # s after the signal to stop: new connections still come
SETTINGS = ("terms", "prefix_names", "zone_names", "connect_time_out", "keep_idle")
LAST_ANSWERS = 0.6  # s on top of the longest client timeout, then what is left is answered anyhow
MOST_NOTICE = 3.0  # s, the longest client timeout that a stop waits for, whatever the settings have
LAST_BYTES = 0.06  # s for those answers to leave our buffers; we are killed 0.04 s later at the earliest


def _longest(post: Post) -> float:
    """The longest client timeout, s."""
    return max((p.client_timeout for p in post.terms.prefixes), default=0.0) / 1e3


class Service:
    """One balancer from its start to its end."""

    def __init__(self, loop: asyncio.AbstractEventLoop, post: Post, operator: Operator | None = None) -> None:
        self._loop = loop
        self._post = post
        self._operator = operator  # None: nothing that is off by default is on
        self._log = structlog.get_logger()
        self.turn = Turn(loop, post, operator)
        self.clients = Clients(loop, self.turn, self.turn.max_clients, self.turn.events)
        self.at = post.listen
        self._rounds = 0
        self._tidying: asyncio.TimerHandle | None = None
        self._fleet: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Listen and serve from now on."""
        self.at = self.clients.listen(self._post.listen)
        self._tidy()
        if self.turn.bank is not None:
            self._fleet = self._loop.create_task(self.turn.bank.start())
        self._log.info(
            "serving", name=self._post.name, listen=f"{self.at[0]}:{self.at[1]}", sockets=self._post.sockets
        )

    def reload(self, reread: Callable[[], tuple[Post, Operator | None]]) -> None:
        """The files may be new: settings, discovery and what SIGHUP applies hold from now on."""
        if self.turn.closing:
            return
        try:
            new, operator = reread()
        except FactError as error:
            self._log.error("configuration not reloaded, the old one stays", problem=str(error))
            return
        restart = self._post.needs_restart(new)
        if operator is not None and self._operator is not None:
            from ospreyline.operator import needs_restart

            restart += needs_restart(self._operator, operator)
        if restart:
            self._log.warning("changes that need a restart", keys=restart)
        moved = new.discovery != self.turn.discovery.at
        # what needs a restart stays as it is
        new = replace(
            new,
            name=self._post.name,
            listen=self._post.listen,
            sockets=self._post.sockets,
            memory=self._post.memory,
        )
        settings = any(getattr(self._post, key) != getattr(new, key) for key in SETTINGS)
        if settings:
            self.turn.apply_config(new)
        self._post = new
        if operator is not None and operator != self._operator:
            self.turn.apply_operator(operator)
            self._operator = operator
        self._log.info("reloaded", discovery="{}:{}".format(*new.discovery), moved=moved, settings=settings)
        if moved:
            self.turn.move_discovery(new.discovery)

    async def stop(self) -> None:
        """Finish what was taken; new connections are accepted for a while yet, and kept ones used."""
        began = self._loop.time()
        self._log.info("stopping", visits=len(self.turn.visits))
        if self.turn.bank is not None:
            self.turn.bank.leave()
        self.turn.closing = True
        # guards: counted from the settings of now. One that was taken under longer ones is answered early:
        # the time until the process is killed is counted from what it was given last
        ends = began + min(_longest(self._post), MOST_NOTICE) + LAST_ANSWERS
        await asyncio.sleep(KEEP_ACCEPTING)
        while self._loop.time() < ends:
            listening = not self.clients.stop_listening()
            self.clients.close_idle()
            if not listening and not self.clients.is_busy() and not self.clients.open:
                break
            await asyncio.sleep(0.02)
        while (
            self.turn.has_unanswered_visits() or self.clients.has_unsent_answers()
        ) and self._loop.time() < ends + LAST_BYTES:
            self.turn.answer_all()  # guards: the rest of a request may have come since
            await asyncio.sleep(0.005)
        self.end()
        self._counts()
        self._log.info("stopped")

    def end(self) -> None:
        """Drop all connections."""
        if self._tidying is not None:
            self._tidying.cancel()
        self.clients.close()
        if self.turn.bank is not None:
            self.turn.bank.close()
        self.turn.close()

    def _tidy(self) -> None:
        self._tidying = self._loop.call_later(TIDY, self._tidy)
        self.clients.run_maintenance()
        self.turn.upstreams.run_maintenance(clock())
        self.turn.run_maintenance(clock())
        self.turn.discovery.tidy()
        self._rounds += 1
        if self._rounds % COUNTS == 0:
            self._counts()

    def _counts(self) -> None:
        """A line of what was counted since the last one."""
        turn = self.turn
        times = sorted(turn.latencies_ms)
        figures: dict[str, float] = {}
        if len(times) > 1:
            cuts = statistics.quantiles(times, n=100, method="inclusive")
            figures = {f"p{n}_ms": round(cuts[n - 1], 1) for n in (50, 90, 99)}
        self._log.info(
            "counts",
            open_visits=len(turn.visits),
            clients=len(self.clients.open),
            connections=len(turn.upstreams.open),
            lag_ms=round(turn.max_timer_lag_ms, 1),
            **figures,
            **dict(sorted(turn.counts.items())),
            **(turn.bank.counts() if turn.bank is not None else {}),
            **(turn.covering.counts() if turn.covering is not None else {}),
        )
        turn.counts.clear()
        turn.latencies_ms.clear()
        turn.max_timer_lag_ms = 0.0


class LogFile:
    """Standard output as long as somebody reads it. Guards: a log that is lost must not cost a visit."""

    def __init__(self, file: TextIO) -> None:
        self._file = file

    def write(self, text: str) -> int:
        with suppress(OSError, ValueError):
            return self._file.write(text)
        return 0

    def flush(self) -> None:
        with suppress(OSError, ValueError):
            self._file.flush()


def start_log() -> None:
    """JSON lines on standard output."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=cast(TextIO, LogFile(sys.stdout))),
        cache_logger_on_first_use=True,
    )


async def serve(
    post: Post, reread: Callable[[], tuple[Post, Operator | None]], operator: Operator | None = None
) -> None:
    """Run a balancer until SIGTERM or SIGINT; SIGHUP reads its files again."""
    loop = asyncio.get_running_loop()
    told_to_stop = asyncio.Event()
    for number in SIGNALS[:2]:
        loop.add_signal_handler(number, told_to_stop.set)
    service = Service(loop, post, operator)
    loop.add_signal_handler(signal.SIGHUP, service.reload, reread)
    service.start()
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    gc.collect()
    gc.freeze()  # what lives as long as we do is not looked at again
    await told_to_stop.wait()
    await service.stop()
