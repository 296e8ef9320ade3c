"""Start, configuration reload, shutdown and periodic maintenance of a balancer."""

from __future__ import annotations

import asyncio
import gc
import resource
import signal
import statistics
import sys
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING, TextIO, cast

import structlog

from ospreyline.config import ConfigError, ProxyConfig
from ospreyline.net.clients import ClientListener
from ospreyline.net.dispatcher import EventDispatcher, clock

if TYPE_CHECKING:
    from ospreyline.operator_settings import OperatorSettings

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
MAINTENANCE_INTERVAL_S = 0.25  # interval of cleaning up idle connections and unresponsive list calls
COUNTS_EVERY_ROUNDS = 20  # maintenance rounds between two "counts" log lines
KEEP_ACCEPTING_S = 0.5  # after the signal to stop, new connections are still accepted for this long
RELOADED_FIELDS = ("deployment", "prefix_names", "zone_names", "connect_timeout_ms", "upstream_keepalive_ms")
FINAL_ANSWER_GRACE_S = 0.6  # on top of the longest client timeout; then open visits are answered anyway
MAX_DRAIN_S = 3.0  # the longest client timeout that a shutdown waits for, whatever the settings say
# time for the last answers to leave our buffers; the process is killed 0.04 s later at the earliest
FLUSH_GRACE_S = 0.06


def _longest_client_timeout_s(config: ProxyConfig) -> float:
    """The longest client timeout, in seconds."""
    return max((p.client_timeout for p in config.deployment.prefixes), default=0.0) / 1e3


class Service:
    """One balancer process, from start to shutdown."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, config: ProxyConfig, operator: OperatorSettings | None = None
    ) -> None:
        self._loop = loop
        self._config = config
        self._operator = operator  # None: no optional feature is enabled
        self._log = structlog.get_logger()
        self.dispatcher = EventDispatcher(loop, config, operator)
        self.clients = ClientListener(
            loop,
            self.dispatcher,
            self.dispatcher.max_clients,
            self.dispatcher.budgets,
            self.dispatcher.reads,
            self.dispatcher.events,
        )
        self.at = config.listen
        self._maintenance_rounds = 0
        self._maintenance_timer: asyncio.TimerHandle | None = None
        self._bank_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start listening and serving."""
        self.at = self.clients.listen(self._config.listen)
        self._run_maintenance()
        if self.dispatcher.bank is not None:
            self._bank_task = self._loop.create_task(self.dispatcher.bank.start())
        self._log.info(
            "serving",
            name=self._config.name,
            listen=f"{self.at[0]}:{self.at[1]}",
            sockets=self._config.max_descriptors,
        )

    def reload(self, load_again: Callable[[], tuple[ProxyConfig, OperatorSettings | None]]) -> None:
        """Reload the files and apply all changes that need no restart."""
        if self.dispatcher.closing:
            return
        try:
            new, operator = load_again()
        except ConfigError as error:
            self._log.error("configuration not reloaded, the old one stays", problem=str(error))
            return
        restart = self._config.needs_restart(new)
        if operator is not None and self._operator is not None:
            from ospreyline.operator_settings import needs_restart

            restart += needs_restart(self._operator, operator)
        if restart:
            self._log.warning("changes that need a restart", keys=restart)
        moved = new.discovery != self.dispatcher.discovery.at
        # values that need a restart stay as they are
        new = replace(
            new,
            name=self._config.name,
            listen=self._config.listen,
            max_descriptors=self._config.max_descriptors,
            memory_bytes=self._config.memory_bytes,
        )
        settings = any(getattr(self._config, key) != getattr(new, key) for key in RELOADED_FIELDS)
        if settings:
            self.dispatcher.apply_config(new)
        self._config = new
        if operator is not None and operator != self._operator:
            self.dispatcher.apply_operator(operator)
            self._operator = operator
        self._log.info("reloaded", discovery="{}:{}".format(*new.discovery), moved=moved, settings=settings)
        if moved:
            self.dispatcher.move_discovery(new.discovery)

    async def stop(self) -> None:
        """Finish open visits; for a moment, new connections and requests on open ones are still accepted."""
        began = self._loop.time()
        self._log.info("stopping", visits=len(self.dispatcher.visits))
        if self.dispatcher.bank is not None:
            self.dispatcher.bank.leave()
        self.dispatcher.closing = True
        # Uses the current settings. A visit that began under longer timeouts is answered early, as the time
        # until the process is killed depends on its latest settings.
        deadline = began + min(_longest_client_timeout_s(self._config), MAX_DRAIN_S) + FINAL_ANSWER_GRACE_S
        await asyncio.sleep(KEEP_ACCEPTING_S)
        while self._loop.time() < deadline:
            listening = not self.clients.stop_listening()
            self.clients.close_idle()
            if not listening and not self.clients.is_busy() and not self.clients.open:
                break
            await asyncio.sleep(0.02)
        while (
            self.dispatcher.has_unanswered_visits() or self.clients.has_unsent_answers()
        ) and self._loop.time() < deadline + FLUSH_GRACE_S:
            self.dispatcher.answer_all()  # the rest of a request may have arrived since
            await asyncio.sleep(0.005)
        self.end()
        self._log_counts()
        self._log.info("stopped")

    def end(self) -> None:
        """Close all connections at once."""
        if self._maintenance_timer is not None:
            self._maintenance_timer.cancel()
        self.clients.close()
        if self.dispatcher.bank is not None:
            self.dispatcher.bank.close()
        self.dispatcher.close()

    def _run_maintenance(self) -> None:
        self._maintenance_timer = self._loop.call_later(MAINTENANCE_INTERVAL_S, self._run_maintenance)
        self.clients.run_maintenance()
        self.dispatcher.upstreams.run_maintenance(clock())
        self.dispatcher.run_maintenance(clock())
        self.dispatcher.discovery.tidy()
        self._maintenance_rounds += 1
        if self._maintenance_rounds % COUNTS_EVERY_ROUNDS == 0:
            self._log_counts()

    def _log_counts(self) -> None:
        """Log what was counted since the last "counts" line."""
        dispatcher = self.dispatcher
        times = sorted(dispatcher.latencies_ms)
        figures: dict[str, float] = {}
        if len(times) > 1:
            cuts = statistics.quantiles(times, n=100, method="inclusive")
            figures = {f"p{n}_ms": round(cuts[n - 1], 1) for n in (50, 90, 99)}
        self._log.info(
            "counts",
            open_visits=len(dispatcher.visits),
            clients=len(self.clients.open),
            connections=len(dispatcher.upstreams.open),
            lag_ms=round(dispatcher.max_timer_lag_ms, 1),
            peak_memory_mb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss >> 10,
            **dispatcher.budgets.most_held_kb(),
            **figures,
            **dict(sorted(dispatcher.counts.items())),
            **(dispatcher.bank.counts() if dispatcher.bank is not None else {}),
            **(dispatcher.takeover_adapter.counts() if dispatcher.takeover_adapter is not None else {}),
        )
        dispatcher.counts.clear()
        dispatcher.latencies_ms.clear()
        dispatcher.max_timer_lag_ms = 0.0


class LogFile:
    """Standard output; write errors are ignored, so that a broken log does not cost a visit."""

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
    """Log as JSON lines to standard output."""
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
    config: ProxyConfig,
    load_again: Callable[[], tuple[ProxyConfig, OperatorSettings | None]],
    operator: OperatorSettings | None = None,
) -> None:
    """Run a balancer until SIGTERM or SIGINT; SIGHUP reloads its files."""
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in SIGNALS[:2]:
        loop.add_signal_handler(signal_number, stop_requested.set)
    service = Service(loop, config, operator)
    loop.add_signal_handler(signal.SIGHUP, service.reload, load_again)
    service.start()
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    gc.collect()
    gc.freeze()  # objects that live as long as the process are excluded from garbage collection
    await stop_requested.wait()
    await service.stop()
