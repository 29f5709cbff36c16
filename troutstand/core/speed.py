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


@dataclass
class Speed:
    """Hold a learnt speed; nothing learnt yet is None."""

    value: float | None = None

    def learn(self, sample: float) -> None:
        """Move towards a sample."""
        self.value = sample if self.value is None else self.value + _EWMA * (sample - self.value)


@dataclass(frozen=True)
class ReadingSpeed:
    """Tell how long a first byte takes: a constant, and more for each prompt token to read."""

    constant_s: float
    per_token_s: float

    def estimate(self, tokens: float) -> float:
        """Return the seconds until the first byte."""
        return self.constant_s + self.per_token_s * tokens


@dataclass
class ReadingFit:
    """Fit a reading speed to a target's first bytes by least squares, newer ones first.

    Parameters
    ----------
    prior
        What is believed before the first sample.
    """

    prior: ReadingSpeed
    speed: ReadingSpeed = field(init=False)
    _weight: float = field(init=False, default=0.0)
    _tokens: float = field(init=False, default=0.0)
    _seconds: float = field(init=False, default=0.0)
    _tokens_squared: float = field(init=False, default=0.0)
    _product: float = field(init=False, default=0.0)

    def __post_init__(self) -> None:
        self.speed = self.prior
        for tokens in (0.0, _PRIOR_TOKENS):
            self._add(tokens, self.prior.estimate(tokens))

    def learn(self, tokens: float, seconds: float) -> None:
        """Take the time of one first byte.

        Parameters
        ----------
        tokens
            Prompt tokens read until then: the request's own and those ahead of it.
        seconds
            From sending the request to its first byte.
        """
        self._weight *= _KEPT_WEIGHT
        self._tokens *= _KEPT_WEIGHT
        self._seconds *= _KEPT_WEIGHT
        self._tokens_squared *= _KEPT_WEIGHT
        self._product *= _KEPT_WEIGHT
        self._add(tokens, seconds)
        self.speed = self._solve()

    def _add(self, tokens: float, seconds: float) -> None:
        self._weight += 1.0
        self._tokens += tokens
        self._seconds += seconds
        self._tokens_squared += tokens * tokens
        self._product += tokens * seconds

    def _solve(self) -> ReadingSpeed:
        mean_tokens = self._tokens / self._weight
        mean_s = self._seconds / self._weight
        variance = self._tokens_squared / self._weight - mean_tokens**2
        covariance = self._product / self._weight - mean_tokens * mean_s
        slope_s = covariance / variance if variance > 1.0 else self.prior.per_token_s
        slope_s = max(slope_s, _MIN_SLOPE_SHARE * self.prior.per_token_s)
        return ReadingSpeed(max(_MIN_CONSTANT_S, mean_s - slope_s * mean_tokens), slope_s)
