"""Bodies of the requests that a worker takes."""

from typing import Any

from pydantic import BaseModel, ConfigDict, Field


class _Body(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class TaskIn(_Body):
    """Describe one task of a start request."""

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
    """Name tasks to stop."""

    submission: str
    tasks: tuple[int, ...]


class ThrottleIn(_Body):
    """Name a task and the factor on the rest of its run time."""

    submission: str
    task: int
    factor: float = Field(gt=0)


class CheckpointIn(_Body):
    """Name a task to checkpoint."""

    submission: str
    task: int
