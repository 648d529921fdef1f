"""Instance processes of a soak, which are stopped, killed and paused."""

import dataclasses
import signal
import time

import instance_process

GRACE_S = 3.0
"""Time from SIGTERM to SIGKILL, in seconds."""

RESTART_DELAY_S = 0.3
"""Time after which the platform restarts a process that has ended, in
seconds."""


@dataclasses.dataclass(slots=True)
class Life:
    """One process of an instance, as clients are judged by it.

    Attributes:
        terminated_s: Steady time of SIGTERM; None before it.
        is_killed: Whether it was killed without warning.
        paused_until_s: Steady time until which it is paused, or was last.
        is_paused: Whether it is paused.
        was_paused_in_grace: Whether it was paused after SIGTERM, so that its
            grace may have ended before it could answer.
    """

    terminated_s: float | None = None
    is_killed: bool = False
    paused_until_s: float = 0.0
    is_paused: bool = False
    was_paused_in_grace: bool = False


class SoakInstance:
    """An instance that is restarted whenever its process has ended.

    Args:
        process: Its process, just started.

    Attributes:
        life: State of the newest process.
        problems: What its processes did wrong by themselves.
        late_stops: Number of processes that had to be killed at the end of
            their grace period.
    """

    def __init__(self, process: instance_process.InstanceProcess) -> None:
        self._instance = process
        self.life = Life()
        self.problems: list[str] = []
        self.late_stops = 0
        self._restart_s: float | None = None

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self._instance.name

    @property
    def front_port(self) -> int:
        """Port on which it serves clients."""
        return self._instance.front_port

    @property
    def is_away(self) -> bool:
        """Whether it is stopping, paused or has no process that is ready."""
        return (
            self.life.terminated_s is not None
            or self.life.is_paused
            or self._restart_s is not None
            or not self._instance.is_ready()
        )

    @property
    def is_in_rotation(self) -> bool:
        """Whether the platform passes new connections to it."""
        return self.life.terminated_s is None and self._restart_s is None

    def terminate(self) -> None:
        """Sends SIGTERM; SIGKILL follows after the grace period."""
        if self.life.terminated_s is None and self._restart_s is None:
            self.life.terminated_s = time.monotonic()
            self.life.was_paused_in_grace = self.life.is_paused
            self._instance.process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kills the process without warning."""
        self.life.is_killed = True
        self._instance.process.kill()

    def hang_up(self) -> None:
        """Sends SIGHUP to the process, unless it stops or has ended.

        A process that is still starting would end of it.
        """
        if not self.is_away:
            self._instance.process.send_signal(signal.SIGHUP)

    def pause(self, duration_s: float) -> None:
        """Pauses the process."""
        self.life.paused_until_s = max(
            self.life.paused_until_s, time.monotonic() + duration_s
        )
        self.life.is_paused = True
        if self.life.terminated_s is not None:
            self.life.was_paused_in_grace = True
        self._instance.process.send_signal(signal.SIGSTOP)

    def advance(self, now_s: float) -> None:
        """Resumes, kills or restarts the process if it is time to."""
        life, process = self.life, self._instance.process
        if self._restart_s is not None:
            if now_s >= self._restart_s:
                self._restart_s = None
                self.life = Life()
                self._instance.start()
            return
        if process.poll() is not None:
            self._note_exit(process.returncode)
            self._restart_s = now_s + RESTART_DELAY_S
            return
        if life.is_paused and now_s >= life.paused_until_s:
            life.is_paused = False
            life.paused_until_s = now_s
            process.send_signal(signal.SIGCONT)
        if life.terminated_s is not None and (
            now_s >= life.terminated_s + GRACE_S
        ):
            self.late_stops += not (life.is_killed or life.was_paused_in_grace)
            process.kill()

    def _note_exit(self, code: int) -> None:
        """Notes an exit that nothing but the process itself explains."""
        if code == -signal.SIGKILL:
            return
        if code == -signal.SIGTERM and self.life.terminated_s is not None:
            return  # It had not begun to handle signals.
        if code != 0 or self.life.terminated_s is None:
            self.problems.append(f"{self.name} ended by itself with {code}")

    def close(self) -> None:
        """Kills the process if it still runs."""
        self._instance.kill()
