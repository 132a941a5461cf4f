"""How long statements of a service ran lately, by kind; the estimates forget what is old."""

# RFC 6298: the weights of a new observation, and how many deviations above the mean are still usual
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
USUAL_DEVIATIONS = 4
MAX_AGE_S = 10.0  # without an observation for so long, nothing is known any more
WINDOW_S = 5.0  # the shortest run is one of this window or the one before
MAX_RUN_S = 60.0


class RunTime:
    """Runs of one kind: smoothed mean and deviation, and the shortest of the last seconds.

    >>> run_time = RunTime(); run_time.observe(0.2, 1.0); run_time.observe(0.1, 1.5)
    >>> run_time.shortest_s, round(run_time.mean_s, 4)
    (0.1, 0.1875)
    """

    __slots__ = (
        "_shortest_before",
        "_shortest_now",
        "_window_at",
        "deviation_s",
        "mean_s",
        "seen_at",
    )

    def __init__(self) -> None:
        self.mean_s = self.deviation_s = 0.0
        self.seen_at: float | None = None
        self._shortest_now = self._shortest_before = MAX_RUN_S
        self._window_at = 0.0

    def observe(self, run_s: float, now: float) -> None:
        """Takes one run that succeeded."""
        run_s = min(run_s, MAX_RUN_S)
        if not self.is_known(now):
            self.mean_s, self.deviation_s = run_s, run_s / 2
            self._shortest_now = self._shortest_before = run_s
            self._window_at = now
        else:
            self.deviation_s += DEVIATION_WEIGHT * (abs(run_s - self.mean_s) - self.deviation_s)
            self.mean_s += MEAN_WEIGHT * (run_s - self.mean_s)
            if now - self._window_at >= WINDOW_S:
                self._shortest_before, self._shortest_now = self._shortest_now, run_s
                self._window_at = now
            self._shortest_now = min(self._shortest_now, run_s)
        self.seen_at = now

    def is_known(self, now: float) -> bool:
        """Whether a run was seen lately."""
        return self.seen_at is not None and now - self.seen_at < MAX_AGE_S

    @property
    def shortest_s(self) -> float:
        """The shortest run of the last seconds."""
        return min(self._shortest_now, self._shortest_before)

    @property
    def usual_s(self) -> float:
        """Within what time an answer usually has come."""
        return self.mean_s + USUAL_DEVIATIONS * self.deviation_s


class RunTimes:
    """The run times of one service, by kind (the name of a plan); None where nothing is known.

    >>> run_times = RunTimes(); run_times.observe("write", 0.1, 1.0)
    >>> run_times.shortest_s("write", 2.0), run_times.shortest_s("begin", 2.0), run_times.shortest_s("write", 20.0)
    (0.1, None, None)
    """

    __slots__ = ("_by_kind",)

    def __init__(self) -> None:
        self._by_kind: dict[str, RunTime] = {}

    def observe(self, kind: str, run_s: float, now: float) -> None:
        """Takes one run that succeeded."""
        run_time = self._by_kind.get(kind)
        if run_time is None:
            run_time = self._by_kind[kind] = RunTime()
        run_time.observe(run_s, now)

    def shortest_s(self, kind: str, now: float) -> float | None:
        """The shortest run of the last seconds: less time than that is too little."""
        run_time = self._known(kind, now)
        return run_time.shortest_s if run_time else None

    def mean_s(self, kind: str, now: float) -> float | None:
        """The mean run: what each statement in a queue adds to the wait behind it."""
        run_time = self._known(kind, now)
        return run_time.mean_s if run_time else None

    def usual_s(self, kind: str, now: float) -> float | None:
        """Within what time an answer usually has come."""
        run_time = self._known(kind, now)
        return run_time.usual_s if run_time else None

    def _known(self, kind: str, now: float) -> RunTime | None:
        run_time = self._by_kind.get(kind)
        return run_time if run_time and run_time.is_known(now) else None
