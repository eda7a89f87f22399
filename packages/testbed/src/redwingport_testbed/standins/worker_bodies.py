"""Models of the request bodies that a worker accepts."""

from typing import Any

from pydantic import BaseModel, ConfigDict, Field


class _Body(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class TaskIn(_Body):
    """Validate one task of a start request."""

    task: int = Field(ge=0)
    attempt: int = Field(ge=0)
    payload: Any = None
    expected_ms: float = Field(gt=0)
    cpus: float = Field(default=1.0, ge=0)
    memory_mb: float = Field(default=0.0, ge=0)


class StartsIn(_Body):
    """Validate the body that ``StartRequest.encode`` writes."""

    submission: str
    service: str
    holder: str = Field(min_length=1)
    lease: str
    hold_ms: int = Field(ge=0)
    start_before: float
    tasks: tuple[TaskIn, ...]


class StopsIn(_Body):
    """Validate the body of a stop request."""

    submission: str
    tasks: tuple[int, ...]


class ThrottleIn(_Body):
    """Validate the body that throttles a task: a factor on its remaining run time."""

    submission: str
    task: int
    factor: float = Field(gt=0)


class CheckpointIn(_Body):
    """Validate the body of a checkpoint request."""

    submission: str
    task: int
