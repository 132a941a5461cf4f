"""The operator's access lists, read and checked with pydantic."""

from ipaddress import ip_network
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from sumacloom.configuration.access_list import ANY, DEFAULT, UNKNOWN
from sumacloom.errors import Err, Ok, Result, mishap

MOST_BODY = 64 << 10
MOST_RULES, MOST_NETWORKS = 512, 2048
Name = Field(min_length=1, max_length=64, pattern=r"^\S+$")


class RuleModel(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)
    name: str = Name
    action: Literal["allow", "deny"]
    databases: list[str] = Field(min_length=1)
    regions: list[str] = Field(min_length=1)


class AccessModel(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)
    default: Literal["allow", "deny"]
    networks: dict[str, str] = Field(default={}, max_length=MOST_NETWORKS)
    rules: list[RuleModel] = Field(default=[], max_length=MOST_RULES)


def check_access(raw: bytes, regions: set[str]) -> Result:
    """Reads an access list; Ok(model), or the first mishap found.

    >>> check_access(b'{"default": "deny"}', set()).ok().default
    'deny'
    >>> check_access(b'{"default": "deny", "networks": {"10.0.0.1/8": "north"}}', {"north"}).err().name
    'invalid_access'
    >>> check_access(b'{"default": "deny", "networks": {"10.0.0.0/8": "mars"}}', {"north"}).err().name
    'unknown_region'
    """
    if len(raw) > MOST_BODY:
        return Err(mishap("too_large", f"an access list has {MOST_BODY >> 10} KiB at most"))
    try:
        model = AccessModel.model_validate_json(raw)
    except ValidationError as error:
        item = error.errors(include_url=False, include_input=False)[0]
        place = ".".join(map(str, item["loc"]))
        return Err(mishap("invalid_access", f"{place}: {item['msg']}" if place else item["msg"]))
    return find_mishap(model, regions) or Ok(model)


def find_mishap(model: AccessModel, regions: set[str]) -> Result | None:
    """What a model's fields don't show: the first mishap, or nothing.

    >>> find_mishap(AccessModel(default="deny"), set()) is None
    True
    """
    names = [rule.name for rule in model.rules]
    doubled = next((name for name in names if names.count(name) > 1 or name == DEFAULT), None)
    if doubled:
        return Err(
            mishap(
                "invalid_access", f"two rules are named '{doubled}', or it is the default's name"
            )
        )
    seen = {}
    for text in model.networks:
        try:
            network = ip_network(text)
        except ValueError as error:
            return Err(mishap("invalid_access", f"networks: {error}"))
        if network in seen:
            return Err(
                mishap("invalid_access", f"networks: '{text}' is the same as '{seen[network]}'")
            )
        seen[network] = text
    named = {*model.networks.values()} | {
        region for rule in model.rules for region in rule.regions
    } - {ANY, UNKNOWN}
    strange = sorted(named - regions)
    if strange:
        return Err(mishap("unknown_region", f"there is no region '{strange[0]}'"))
    return None
