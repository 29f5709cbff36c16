"""Estimators of a target's speed from the times of its answers."""

from __future__ import annotations

from dataclasses import dataclass, field

_EWMA_WEIGHT = 0.25
# Decay of older samples with each new one; the window is about 20 samples.
_DECAY = 0.95
# The prior counts as two samples: an empty prompt and one with this many tokens.
_PRIOR_TOKENS = 4000.0
# Lower bound of the fitted slope as a share of the prior, since a fit can be negative.
_MIN_SLOPE_SHARE = 0.1
_MIN_CONSTANT_S = 1e-3
# Caps the weight of merged sums at the limit that decayed samples converge to.
_MAX_WEIGHT = 1.0 / (1.0 - _DECAY)


@dataclass
class MovingAverage:
    """Hold an exponentially weighted moving average; None before the first sample."""

    value: float | None = None
    samples: int = 0

    def add_sample(self, sample: float) -> None:
        """Update the average with a sample."""
        self.samples += 1
        self.value = (
            sample if self.value is None else self.value + _EWMA_WEIGHT * (sample - self.value)
        )

    def merge(self, value: float, samples: int) -> None:
        """Merge another average, weighted by the number of samples."""
        if not samples:
            return
        own = self.value if self.value is not None else value
        self.value = (own * self.samples + value * samples) / (self.samples + samples)
        self.samples += samples


@dataclass
class PrefillSums:
    """Hold weighted sums of (tokens, seconds) samples for a linear least squares fit."""

    weight: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    tokens_squared: float = 0.0
    product: float = 0.0

    def add(self, tokens: float, seconds: float) -> None:
        """Add one sample."""
        self.merge(PrefillSums(1.0, tokens, seconds, tokens * tokens, tokens * seconds))

    def merge(self, other: PrefillSums) -> None:
        """Add other sums."""
        self.weight += other.weight
        self.tokens += other.tokens
        self.seconds += other.seconds
        self.tokens_squared += other.tokens_squared
        self.product += other.product

    def scale(self, factor: float) -> None:
        """Multiply all sums by a factor."""
        self.weight *= factor
        self.tokens *= factor
        self.seconds *= factor
        self.tokens_squared *= factor
        self.product *= factor

    def to_list(self) -> list[float]:
        """Return the sums in field order."""
        return [self.weight, self.tokens, self.seconds, self.tokens_squared, self.product]


@dataclass(frozen=True)
class PrefillSpeed:
    """Model the time to first byte as linear in the uncached prompt tokens."""

    constant_s: float
    per_token_s: float

    def estimate(self, tokens: float) -> float:
        """Return the estimated time to first byte in seconds."""
        return self.constant_s + self.per_token_s * tokens


@dataclass
class PrefillFit:
    """Fit the prefill speed of a target by exponentially weighted least squares.

    Parameters
    ----------
    prior
        Speed before the first sample.
    """

    prior: PrefillSpeed
    speed: PrefillSpeed = field(init=False)
    _sums: PrefillSums = field(init=False, default_factory=PrefillSums)

    def __post_init__(self) -> None:
        self.speed = self.prior
        for tokens in (0.0, _PRIOR_TOKENS):
            self._sums.add(tokens, self.prior.estimate(tokens))

    def add_sample(self, tokens: float, seconds: float) -> None:
        """Add the time to first byte of one request.

        Parameters
        ----------
        tokens
            Uncached prompt tokens of the request and of those queued before it.
        seconds
            Time from sending the request to its first byte.
        """
        self._sums.scale(_DECAY)
        self._sums.add(tokens, seconds)
        self.speed = self._solve()

    def merge(self, sums: PrefillSums) -> None:
        """Merge samples of another process."""
        self._sums.merge(sums)
        if self._sums.weight > _MAX_WEIGHT:
            self._sums.scale(_MAX_WEIGHT / self._sums.weight)
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
