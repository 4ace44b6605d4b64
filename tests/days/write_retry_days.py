#!/usr/bin/env python3
"""Writes test days on which requests are repeated after a quiet time: a burst of callers, targets that reject requests or lose
answers, then hosts that restart, end or are cut off, once or in series, so that callers move. All shares are drawn.

Usage: write_retry_days.py FOLDER COUNT [SEED]
The files are days in the format of the users' test bench; tests/days/play runs all of them on a site.
"""
import pathlib
import random
import sys

from write_days import format_entry

SERVICES = ['@s0', '@s0', '@s1', '@s2']
LENGTH_S = 22.0


def draw_rejection(draw, at, service):
    share, fraction, length = draw.uniform(0.8, 1.0), draw.uniform(0.6, 0.9), draw.uniform(6, 9)
    fields = dict(share=round(share, 2), for_s=round(length, 1), how='shed', x=round(fraction, 2), service=service)
    return format_entry('srv_grey', at, fields)


def draw_lost_answers(draw, at, service):
    fields = dict(share=1.0, x=round(draw.uniform(0.2, 0.5), 2), for_s=round(draw.uniform(2, 5), 1), how='', service=service)
    return format_entry('answer_lost', at, fields)


def draw_ends_of_hosts(draw, at):
    """All hosts restart, once or again and again, or some of them end for longer than a moment, so that their callers use the
    others."""
    kind = draw.choice(['restart', 'restarts', 'death', 'death', 'deaths', 'cut'])
    if kind == 'cut':
        return [format_entry('node_cut', at, dict(share=round(draw.uniform(0.3, 0.6), 2), for_s=5.0, how='all'))]
    entries = []
    for number in range({'restarts': draw.randint(2, 4), 'deaths': 2}.get(kind, 1)):
        is_death = kind.startswith('death')
        share = round(draw.uniform(0.3, 0.6) if is_death else draw.choice([1.0, 1.0, 0.6]), 2)
        length = round(draw.uniform(4, 9), 1) if is_death else 0.2
        fields = dict(share=share, for_s=length)
        if is_death or draw.random() < 0.3:
            fields['how'] = 'power'
        entries.append(format_entry('herd_kill', round(at + number * draw.uniform(1.2, 3), 2), fields))
    return entries


def draw_day(name, draw):
    service = draw.choice(SERVICES)
    rejection_at = round(draw.uniform(7, 10), 2)
    faults = [draw_rejection(draw, rejection_at, service)]
    if draw.random() < 0.9:
        burst = dict(x=round(draw.uniform(1.5, 2.5), 1), for_s=round(draw.uniform(2, 5), 1))
        faults.append(format_entry('burst', round(rejection_at - draw.uniform(0.5, 3), 2), burst))
    if draw.random() < 0.4:
        faults.append(draw_lost_answers(draw, round(rejection_at + draw.uniform(0, 1), 2), service))
    if draw.random() < 0.3:
        faults.append(format_entry('retry_abuse', rejection_at, dict(share=0.5, x=3.0, for_s=4.0)))
    faults += draw_ends_of_hosts(draw, round(rejection_at + draw.uniform(1, 3.5), 2))
    return '\n'.join([f'name = "{name}"', 'slot = "trouble"', f'seed = {draw.randint(1, 999)}', f'length_s = {LENGTH_S}',
                      'plan = []', 'faults = [', *faults, ']', ''])


def main():
    folder, count = pathlib.Path(sys.argv[1]), int(sys.argv[2])
    seed = int(sys.argv[3]) if len(sys.argv) > 3 else 1
    folder.mkdir(parents=True, exist_ok=True)
    for number in range(count):
        name = f'retries-{seed}-{number}'
        (folder / f'{name}.toml').write_text(draw_day(name, random.Random(f'{seed}-{number}')))


if __name__ == '__main__':
    main()
