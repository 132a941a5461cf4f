"""The operator's configurations, read strictly with pydantic. Field names are those of the pages."""

from typing import Any, Literal

import msgspec
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from sumacloom.configuration.model import decode_configuration
from sumacloom.errors import (
    DuplicateRouteError,
    InvalidFieldError,
    SumacloomError,
    UnknownServiceError,
    UnreadableConfigurationError,
    ZeroTimeoutError,
)

MAX_VERSION = (1 << 62) - 1  # what the register's encoding holds, with room to undo
UNREADABLE_TYPES = ("json_invalid", "model_type", "model_attributes_type")  # of pydantic's errors


class RouteModel(BaseModel):
    """A route; times in milliseconds."""

    model_config = ConfigDict(extra="allow", strict=True)
    name: str = Field(min_length=1)
    host: str = Field(min_length=1, pattern=r"^\S+$")
    pfx: str = "/"
    svc: str
    kind: Literal["primary", "stale_ok", "self"] = "primary"
    tmoMs: float = Field(gt=0)  # noqa: N815 - a name of the pages
    goalMs: float = Field(default=500, gt=0)  # noqa: N815 - a name of the pages
    prio: int = 1
    tries: int = Field(default=1, ge=0)
    maxStaleMs: float = Field(default=0, ge=0)  # noqa: N815 - a name of the pages
    geo: list[str] = []


class ServiceModel(BaseModel):
    """A service."""

    model_config = ConfigDict(extra="allow", strict=True)
    name: str = Field(min_length=1, pattern=r"^\S+$")
    maxconn: int = Field(default=32, gt=0)
    coldS: float = Field(default=0, ge=0)  # noqa: N815 - a name of the pages
    coldPerS: float = Field(default=0, ge=0)  # noqa: N815 - a name of the pages
    syncAcks: int = Field(default=0, ge=0)  # noqa: N815 - a name of the pages


class LimitsModel(BaseModel):
    """Limits for all databases."""

    model_config = ConfigDict(extra="allow", strict=True)
    txIdleMs: float = Field(default=3000, gt=0)  # noqa: N815 - a name of the pages


class ConfigurationModel(BaseModel):
    """A whole configuration."""

    model_config = ConfigDict(extra="allow", strict=True)
    ver: int = Field(gt=0, le=MAX_VERSION)
    routes: list[RouteModel]
    svcs: list[ServiceModel]
    limits: LimitsModel = LimitsModel()


def parse_configuration(body: bytes) -> ConfigurationModel:
    """Reads a configuration.

    Raises:
        SumacloomError: the first error found; its class says which kind.
    """
    errors, model = find_errors(body)
    if errors or model is None:
        raise errors[0]
    return model


def find_errors(body: bytes) -> tuple[list[SumacloomError], ConfigurationModel | None]:
    """Every error in a configuration, for people who want them all at once.

    >>> find_errors(b'{"ver": 1, "routes": [], "svcs": []}')[0]
    []
    """
    try:
        model = ConfigurationModel.model_validate_json(body)
    except ValidationError as error:
        found = error.errors(include_url=False, include_input=False)
        return [_describe(dict(item)) for item in found], None
    try:
        decode_configuration(body)
    except msgspec.MsgspecError as error:
        return [InvalidFieldError(f"the data plane can't read this: {error}")], None
    return _find_contradictions(model), model


def _find_contradictions(model: ConfigurationModel) -> list[SumacloomError]:
    """What is wrong though each field by itself is valid."""
    services = {service.name for service in model.svcs}
    errors: list[SumacloomError] = [
        UnknownServiceError(f"the route '{route.name}' names the unknown service '{route.svc}'")
        for route in model.routes
        if route.svc not in services
    ]
    places = [(route.host, route.pfx) for route in model.routes]
    errors += [
        DuplicateRouteError(f"two routes share the host '{host}' and the prefix '{prefix}'")
        for host, prefix in sorted(set(places))
        if places.count((host, prefix)) > 1
    ]
    if len(services) < len(model.svcs):
        errors.append(InvalidFieldError("two services share a name"))
    return errors


def _describe(item: dict[str, Any]) -> SumacloomError:
    """One of pydantic's findings as an error of ours."""
    if item["type"] in UNREADABLE_TYPES:
        return UnreadableConfigurationError(
            f"the body is not a JSON object that can be read whole: {item['msg']}"
        )
    place = ".".join(map(str, item["loc"]))
    if place.endswith("tmoMs"):
        return ZeroTimeoutError(f"{place}: {item['msg']}")
    return InvalidFieldError(f"{place}: {item['msg']}")
