"""The operators' file of regions: which zones are near each other, and how far a zone may be utilized.

A zone that the file does not name is a region of its own; without a file all zones are equally far from each
other.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from dunepulley.control.fields import parse_name
from dunepulley.errors import ConfigurationError, ProtocolError
from dunepulley.json_values import is_number

# A plan of this many zones fits in a line of a dispatcher's admin interface.
MAX_ZONES = 64
# The fraction of a zone's warm slots that may be in demand; beyond it queues grow faster than they drain.
DEFAULT_UTILIZATION_LIMIT = 0.8
MIN_UTILIZATION_LIMIT = 0.1
FILE_KEYS = {"limit", "region"}
REGION_KEYS = {"name", "zones", "near"}


class Region(NamedTuple):
    """Zones that are close to each other, and the regions that take over their traffic, the nearest first."""

    name: str
    zones: tuple[str, ...]
    near: tuple[str, ...] = ()


class Regions(NamedTuple):
    """All regions; `utilization_limit` is the fraction of a zone's warm slots that may be in demand."""

    utilization_limit: float = DEFAULT_UTILIZATION_LIMIT
    regions: tuple[Region, ...] = ()

    def region_of(self, zone: str) -> Region:
        """The region of a zone; a zone that no region names is a region of its own."""
        for region in self.regions:
            if zone in region.zones:
                return region
        return Region(f"{zone} alone", (zone,))

    def tiers(self, home_zone: str, zones: list[str]) -> list[list[str]]:
        """The other zones in the order in which they take over: same region, near regions, all others."""
        own = self.region_of(home_zone)
        order = [own.name, *own.near]
        tiers: list[list[str]] = [[] for _ in range(len(order) + 1)]
        for zone in sorted(zones):
            if zone != home_zone:
                name = self.region_of(zone).name
                tiers[order.index(name) if name in order else len(order)].append(zone)
        return [tier for tier in tiers if tier]


def parse_regions(document: dict[str, Any]) -> Regions:
    """The regions of a decoded file; raises `ConfigurationError` if any part of it is invalid."""
    try:
        return _parse_document(document)
    except ProtocolError as error:
        raise ConfigurationError(str(error)) from error


def _parse_document(document: dict[str, Any]) -> Regions:
    _check_keys(document, FILE_KEYS, "the file")
    limit = document.get("limit", DEFAULT_UTILIZATION_LIMIT)
    if not is_number(limit) or not MIN_UTILIZATION_LIMIT <= limit <= 1.0:
        raise ConfigurationError(f"limit: expected a number from 0.1 to 1, got {limit!r:.60}")
    tables = document.get("region", [])
    if not isinstance(tables, list) or not all([isinstance(table, dict) for table in tables]):
        raise ConfigurationError("region: expected an array of tables ([[region]])")
    regions = [_parse_region(table) for table in tables]
    _check_unique([region.name for region in regions])
    zones = [zone for region in regions for zone in region.zones]
    _check_unique(zones)
    if len(zones) > MAX_ZONES:
        raise ConfigurationError(f"expected at most {MAX_ZONES} zones in all regions, got {len(zones)} zones")
    _check_near(regions)
    return Regions(float(limit), tuple(regions))


def _parse_region(table: dict[str, Any]) -> Region:
    name = parse_name(table.get("name"), "region: name")
    _check_keys(table, REGION_KEYS, name)
    zones = _parse_names(table.get("zones"), f"{name}: zones")
    if not zones:
        raise ConfigurationError(f"{name}: zones: expected at least one zone")
    return Region(name, zones, _parse_names(table.get("near", []), f"{name}: near"))


def _parse_names(value: Any, field: str) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise ConfigurationError(f"{field}: expected a list of names, got {type(value).__name__}")
    return tuple([parse_name(element, field) for element in value])


def _check_keys(table: dict[str, Any], allowed_keys: set[str], section: str) -> None:
    unknown = sorted(table.keys() - allowed_keys)
    if unknown:
        raise ConfigurationError(f"{section}: unknown key {unknown[0]}")


def _check_unique(names: list[str]) -> None:
    repeated = sorted({name for name in names if names.count(name) > 1})
    if repeated:
        raise ConfigurationError(f"region: name or zone {repeated[0]} is listed twice")


def _check_near(regions: list[Region]) -> None:
    names = [region.name for region in regions]
    for region in regions:
        unknown = [name for name in region.near if name not in names or name == region.name]
        if unknown:
            raise ConfigurationError(f"{region.name}: near: {unknown[0]} is not the name of another region")
