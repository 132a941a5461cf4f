"""The operator's access lists, read strictly with pydantic."""

from ipaddress import IPv4Network, IPv6Network, ip_network
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from sumacloom.configuration.access_list import ANY, DEFAULT_RULE, UNKNOWN_REGION
from sumacloom.errors import BodyTooLargeError, InvalidAccessListError, UnknownRegionError

MAX_BODY_BYTES = 64 << 10
MAX_RULES, MAX_NETWORKS = 512, 2048


class RuleModel(BaseModel):
    """One rule."""

    model_config = ConfigDict(extra="forbid", strict=True)
    name: str = Field(min_length=1, max_length=64, pattern=r"^\S+$")
    action: Literal["allow", "deny"]
    databases: list[str] = Field(min_length=1)
    regions: list[str] = Field(min_length=1)


class AccessListModel(BaseModel):
    """A whole list."""

    model_config = ConfigDict(extra="forbid", strict=True)
    default: Literal["allow", "deny"]
    networks: dict[str, str] = Field(default={}, max_length=MAX_NETWORKS)
    rules: list[RuleModel] = Field(default=[], max_length=MAX_RULES)


def parse_access_list(body: bytes, regions: set[str]) -> AccessListModel:
    """Reads an access list.

    >>> parse_access_list(b'{"default": "deny"}', set()).default
    'deny'

    Args:
        body: JSON.
        regions: the regions that settings name.

    Raises:
        SumacloomError: the first error found.
    """
    if len(body) > MAX_BODY_BYTES:
        raise BodyTooLargeError(f"an access list has {MAX_BODY_BYTES >> 10} KiB at most")
    try:
        model = AccessListModel.model_validate_json(body)
    except ValidationError as error:
        item = error.errors(include_url=False, include_input=False)[0]
        place = ".".join(map(str, item["loc"]))
        raise InvalidAccessListError(f"{place}: {item['msg']}" if place else item["msg"]) from error
    _check_rule_names(model)
    _check_networks(model)
    _check_regions(model, regions)
    return model


def _check_rule_names(model: AccessListModel) -> None:
    names = [rule.name for rule in model.rules]
    for name in names:
        if names.count(name) > 1 or name == DEFAULT_RULE:
            raise InvalidAccessListError(
                f"two rules are named '{name}', or it is the default's name"
            )


def _check_networks(model: AccessListModel) -> None:
    seen: dict[IPv4Network | IPv6Network, str] = {}
    for text in model.networks:
        try:
            network = ip_network(text)
        except ValueError as error:
            raise InvalidAccessListError(f"networks: {error}") from error
        if network in seen:
            raise InvalidAccessListError(f"networks: '{text}' is the same as '{seen[network]}'")
        seen[network] = text


def _check_regions(model: AccessListModel, regions: set[str]) -> None:
    named = {region for rule in model.rules for region in rule.regions} - {ANY, UNKNOWN_REGION}
    unknown = sorted((named | {*model.networks.values()}) - regions)
    if unknown:
        raise UnknownRegionError(f"there is no region '{unknown[0]}'")
