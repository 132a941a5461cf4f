"""The operator's blueprints, read and checked with pydantic."""

from typing import Literal

import msgspec
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from sumacloom.configuration.model import decode_blueprint
from sumacloom.errors import Err, Ok, Result, mishap

MOST_VERSION = (1 << 62) - 1  # what the register's encoding holds, with room to undo


class RouteModel(BaseModel):
    model_config = ConfigDict(extra="allow", strict=True)
    name: str = Field(min_length=1)
    host: str = Field(min_length=1, pattern=r"^\S+$")
    pfx: str = "/"
    svc: str
    kind: Literal["primary", "stale_ok", "self"] = "primary"
    tmoMs: float = Field(gt=0)
    goalMs: float = Field(default=500, gt=0)
    prio: int = 1
    tries: int = Field(default=1, ge=0)
    maxStaleMs: float = Field(default=0, ge=0)
    geo: list[str] = []


class ServiceModel(BaseModel):
    model_config = ConfigDict(extra="allow", strict=True)
    name: str = Field(min_length=1, pattern=r"^\S+$")
    maxconn: int = Field(default=32, gt=0)
    coldS: float = Field(default=0, ge=0)
    coldPerS: float = Field(default=0, ge=0)
    syncAcks: int = Field(default=0, ge=0)


class LimitsModel(BaseModel):
    model_config = ConfigDict(extra="allow", strict=True)
    txIdleMs: float = Field(default=3000, gt=0)


class BlueprintModel(BaseModel):
    model_config = ConfigDict(extra="allow", strict=True)
    ver: int = Field(gt=0, le=MOST_VERSION)
    routes: list[RouteModel]
    svcs: list[ServiceModel]
    limits: LimitsModel = LimitsModel()


def check_blueprint(raw: bytes) -> Result:
    """Reads a blueprint; Ok(model), or the first mishap found.

    >>> check_blueprint(b'{"ver": 1, "routes": [').err().name
    'unreadable'
    """
    mishaps, model = find_mishaps(raw)
    return Err(mishaps[0]) if mishaps else Ok(model)


def find_mishaps(raw: bytes) -> tuple[list, BlueprintModel | None]:
    """Every mishap in a blueprint, for people who want them all at once.

    >>> [found.name for found in find_mishaps(b'{"ver": 1, "routes": [], "svcs": []}')[0]]
    []
    """
    try:
        model = BlueprintModel.model_validate_json(raw)
    except ValidationError as error:
        return [
            describe(item) for item in error.errors(include_url=False, include_input=False)
        ], None
    try:
        decode_blueprint(raw)
    except msgspec.MsgspecError as error:
        return [mishap("invalid_field", f"the data plane can't read this: {error}")], None
    services = {service.name for service in model.svcs}
    mishaps = [
        mishap(
            "unknown_service", f"the route '{route.name}' names the unknown service '{route.svc}'"
        )
        for route in model.routes
        if route.svc not in services
    ]
    places = [(route.host, route.pfx) for route in model.routes]
    mishaps += [
        mishap("same_place", f"two routes share the host '{host}' and the prefix '{prefix}'")
        for host, prefix in sorted(set(places))
        if places.count((host, prefix)) > 1
    ]
    if len(services) < len(model.svcs):
        mishaps.append(mishap("invalid_field", "two services share a name"))
    return mishaps, model


def describe(item: dict):
    """One of pydantic's findings as a numbered mishap.

    >>> describe({"type": "json_invalid", "loc": (), "msg": "EOF"}).name
    'unreadable'
    """
    if item["type"] in ("json_invalid", "model_type", "model_attributes_type"):
        return mishap(
            "unreadable", f"the body is not a JSON object that can be read whole: {item['msg']}"
        )
    place = ".".join(map(str, item["loc"]))
    if place.endswith("tmoMs"):
        return mishap("zero_timeout", f"{place}: {item['msg']}")
    return mishap("invalid_field", f"{place}: {item['msg']}")
