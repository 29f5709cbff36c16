"""Learn how fast a target is from the times of its answers."""

from __future__ import annotations

from dataclasses import dataclass, field

_EWMA = 0.25
# How much an older first byte still counts when a newer one comes: about twenty
# answers, a second or two of a busy engine (chosen, not measured).
_KEPT_WEIGHT = 0.95
# A prior counts as two first bytes, of an empty prompt and of one of so many tokens.
_PRIOR_TOKENS = 4000.0
# A fit may say that a token costs nothing or less; a share of the prior is kept.
_MIN_SLOPE_SHARE = 0.1
_MIN_CONSTANT_S = 1e-3
# Sums passed on count for no more first bytes than a fit keeps of its own.
_MOST_WEIGHT = 1.0 / (1.0 - _KEPT_WEIGHT)


@dataclass
class MovingAverage:
    """Hold a learnt speed; nothing learnt yet is None."""

    value: float | None = None
    samples: int = 0

    def add_sample(self, sample: float) -> None:
        """Move towards a sample."""
        self.samples += 1
        self.value = sample if self.value is None else self.value + _EWMA * (sample - self.value)

    def merge(self, value: float, samples: int) -> None:
        """Take in what another learnt, each side by the number of its samples."""
        if not samples:
            return
        held = self.value if self.value is not None else value
        self.value = (held * self.samples + value * samples) / (self.samples + samples)
        self.samples += samples


@dataclass
class PrefillSums:
    """Sum first bytes up, so that a line can be fitted to them and sums be added."""

    weight: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    tokens_squared: float = 0.0
    product: float = 0.0

    def add(self, tokens: float, seconds: float) -> None:
        """Add one first byte."""
        self.merge(PrefillSums(1.0, tokens, seconds, tokens * tokens, tokens * seconds))

    def merge(self, other: PrefillSums) -> None:
        """Add the sums of others."""
        self.weight += other.weight
        self.tokens += other.tokens
        self.seconds += other.seconds
        self.tokens_squared += other.tokens_squared
        self.product += other.product

    def scale(self, share: float) -> None:
        """Let everything held count for a share only."""
        self.weight *= share
        self.tokens *= share
        self.seconds *= share
        self.tokens_squared *= share
        self.product *= share

    def to_list(self) -> list[float]:
        """Return the sums in the order of the fields."""
        return [self.weight, self.tokens, self.seconds, self.tokens_squared, self.product]


@dataclass(frozen=True)
class PrefillSpeed:
    """Tell how long a first byte takes: a constant, and more for each prompt token to read."""

    constant_s: float
    per_token_s: float

    def estimate(self, tokens: float) -> float:
        """Return the seconds until the first byte."""
        return self.constant_s + self.per_token_s * tokens


@dataclass
class PrefillFit:
    """Fit a reading speed to a target's first bytes by least squares, newer ones first.

    Parameters
    ----------
    prior
        What is believed before the first sample.
    """

    prior: PrefillSpeed
    speed: PrefillSpeed = field(init=False)
    _sums: PrefillSums = field(init=False, default_factory=PrefillSums)

    def __post_init__(self) -> None:
        self.speed = self.prior
        for tokens in (0.0, _PRIOR_TOKENS):
            self._sums.add(tokens, self.prior.estimate(tokens))

    def add_sample(self, tokens: float, seconds: float) -> None:
        """Take the time of one first byte.

        Parameters
        ----------
        tokens
            Prompt tokens read until then: the request's own and those ahead of it.
        seconds
            From sending the request to its first byte.
        """
        self._sums.scale(_KEPT_WEIGHT)
        self._sums.add(tokens, seconds)
        self.speed = self._solve()

    def merge(self, sums: PrefillSums) -> None:
        """Take in the first bytes that others saw."""
        self._sums.merge(sums)
        if self._sums.weight > _MOST_WEIGHT:
            self._sums.scale(_MOST_WEIGHT / self._sums.weight)
        self.speed = self._solve()

    def _solve(self) -> PrefillSpeed:
        sums = self._sums
        mean_tokens = sums.tokens / sums.weight
        mean_s = sums.seconds / sums.weight
        variance = sums.tokens_squared / sums.weight - mean_tokens**2
        covariance = sums.product / sums.weight - mean_tokens * mean_s
        slope_s = covariance / variance if variance > 1.0 else self.prior.per_token_s
        slope_s = max(slope_s, _MIN_SLOPE_SHARE * self.prior.per_token_s)
        return PrefillSpeed(max(_MIN_CONSTANT_S, mean_s - slope_s * mean_tokens), slope_s)
