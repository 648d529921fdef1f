"""Base class and field types shared by settings and documents."""

from typing import Annotated

import pydantic

NAME_PATTERN = "^[a-z0-9][a-z0-9-]{0,62}$"
"""Pattern of names: at most 63 lower-case letters, digits and hyphens."""
SHA256_PATTERN = "^[0-9a-f]{64}$"
"""Pattern of a SHA-256 digest in lower-case hex."""

Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
"""A name of lower-case letters, digits and hyphens."""

Sha256 = Annotated[str, pydantic.Field(pattern=SHA256_PATTERN)]
"""A SHA-256 digest in lower-case hex."""


class StrictModel(pydantic.BaseModel):
    """Base of immutable models; unknown fields and type coercion are errors."""

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False
    )
