#!/usr/bin/env python3
"""Derives site files of other shapes from a site file of the users: tests/days/write_sites.py SITE.toml FOLDER

  small    4 hosts in 2 zones of one region
  wide     24 hosts in 8 zones of four regions
  uneven   one region has most targets, another has none
  third    a third of all counts and rates, for sites of 60 hosts or more, with all days and their faults

Services, request kinds, bounds and prices are those of the site file. The first three shapes keep only the days quiet-1
and scale-1, without plans and faults; the users' test bench generates random days for them. The names on the wire come
from wire.json beside the site file, which is linked into the folder."""

import pathlib
import re
import sys

SHAPES = {
    # zone: (region, hosts, fraction of the targets of each service)
    "small": {"a1": ("ra", 2, 0.5), "a2": ("ra", 2, 0.5)},
    "wide": {f"{region}{number}": (f"r{region}", 3, 0.125) for region in "abcd" for number in (1, 2)},
    "uneven": {"a1": ("ra", 2, 0.4), "a2": ("ra", 2, 0.4), "b1": ("rb", 1, 0.1), "b2": ("rb", 1, 0.1),
               "c1": ("rc", 1, 0), "c2": ("rc", 1, 0)},
}


def replace_list(text, name, items):
    body = "".join(f"  {item},\n" for item in items)
    return re.sub(rf"^{name} = \[\n.*?^\]\n", lambda _: f"{name} = [\n{body}]\n", text, count=1, flags=re.S | re.M)


def derive(site, shape):
    text = site[:site.index("[[day]]")]
    zones = SHAPES[shape]
    machine = re.search(r"^machines = \[\n  \{(.*?), zone =", text, re.S | re.M).group(1)
    text = replace_list(text, "zones", [f'{{ name = "{zone}", region = "{region}" }}'
                                        for zone, (region, _, _) in zones.items()])
    text = replace_list(text, "machines", [f'{{{machine}, zone = "{zone}", count = {hosts}, spare = 1 }}'
                                           for zone, (_, hosts, _) in zones.items()])

    def targets(match):
        total = sum(int(count) for count in re.findall(r"count = (\d+)", match.group(0)))
        counts = {zone: round(total * part) for zone, (_, _, part) in zones.items()}
        places = ", ".join(f'{{ zone = "{zone}", count = {count} }}' for zone, count in counts.items() if count)
        return f"servers = [{places}]"
    text = re.sub(r"servers = \[.*?\]", targets, text)

    traffic = re.search(r"^traffic = \[\n(.*?)^\]\n", text, re.S | re.M).group(1).splitlines()

    def traffic_of(lines_of_traffic):
        mix = re.search(r"mix = \{.*?\}", lines_of_traffic[0]).group(0)
        rate = sum(float(re.search(r"per_s = ([0-9.]+)", line).group(1)) for line in lines_of_traffic)
        # A region without targets uses those of other regions, so that the uneven shape gets less traffic.
        share = {"uneven": 0.75}.get(shape, 0.9) * rate / len(zones)
        return [f'{{ zone = "{zone}", {mix}, per_s = {share:.1f}, clients = 30, shape = {{ kind = "wave", '
                f'swing = 0.55, period_s = 36.0, phase = {index / len(zones):.2f}, clump = 1.0 }} }}'
                for index, zone in enumerate(zones)]
    text = replace_list(text, "traffic", traffic_of(traffic))
    zone_references = re.findall(r'zone = "[a-z]{2}-[a-z]+"|zone = "[a-z]+-[abc]"', text)
    for name in set(zone_references):
        text = text.replace(name, f'zone = "{next(iter(zones))}"')
    text = re.sub(r'^name = "(.*?)"', rf'name = "\1-{shape}"', text, count=1, flags=re.M)
    days = []
    for day in site[site.index("[[day]]"):].split("[[day]]")[1:]:
        if 'name = "quiet-1"' in day or 'name = "scale-1"' in day:
            lines = re.search(r"^traffic = \[\n(.*?)^\]\n", day, re.S | re.M)
            day = re.sub(r"^(plan|faults) = \[\n.*?^\]\n", r"\1 = []\n", day, flags=re.S | re.M)
            if lines:
                day = replace_list(day, "traffic", traffic_of(lines.group(1).splitlines()))
            days.append("[[day]]" + day)
    return text + "\n" + "".join(days)


def count_hosts(site):
    machines = re.search(r"^machines = \[\n.*?^\]\n", site, re.S | re.M).group(0)
    return sum(int(count) for count in re.findall(r"count = (\d+)", machines))


def scale_down(site, part):
    def scale_count(match):
        return f"{match.group(1)} = {max(1, round(int(match.group(2)) * part))}"

    def rate(match):
        return f"{match.group(1)} = {float(match.group(2)) * part:.1f}"
    text = re.sub(r"\b(count|spare|things|clients) = ([1-9]\d*)", scale_count, site)
    text = re.sub(r"\b(per_s|budget_slack) = ([0-9.]+)", rate, text)
    return re.sub(r'^name = "(.*?)"', r'name = "\1-third"', text, count=1, flags=re.M)


def main():
    source, folder = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    words = folder / "wire.json"
    if not words.exists():
        words.symlink_to(source.resolve().parent / "wire.json")
    site = source.read_text()
    if count_hosts(site) >= 60:
        (folder / f"{source.stem}-third.toml").write_text(scale_down(site, 1 / 3))
    for shape in SHAPES:
        (folder / f"{source.stem}-{shape}.toml").write_text(derive(site, shape))


if __name__ == "__main__":
    main()
