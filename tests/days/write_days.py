#!/usr/bin/env python3
"""Writes test days: one file per fault kind and variant, which occurs at the start and in the middle, and one per pair of
overlapping faults.

Usage: write_days.py FOLDER
The files are days in the format of the users' test bench; tests/days/play runs all of them on a site.
"""
import pathlib
import sys

# Fault kind: its variants, each with its fields.
VARIANTS_BY_KIND = {
    'burst': [dict(x=1.7, for_s=3.0)],
    'shift': [dict(share=0.6, for_s=6.0)],
    'retry_abuse': [dict(share=0.3, x=3.0, for_s=5.0)],
    'give_up': [dict(share=0.3, for_s=5.0), dict(share=0.2, for_s=5.0, how='once')],
    'srv_crash': [dict(share=0.2, for_s=4.0, how=h) for h in ('', 'dark', 'gone')],
    'srv_slow': [dict(share=0.2, x=5.0, for_s=6.0), dict(share=0.4, x=12.0, for_s=6.0)],
    'srv_grey': [dict(share=0.15, x=0.45, for_s=6.0, how=h) for h in ('', 'shed', 'shed all')],
    'release': [dict(share=0.4, x=1.0, gap_s=0.8)],
    'replace_with_reuse': [dict(share=0.25, how=h) for h in ('', 'drain', 'dark')],
    'scale_out': [dict(share=0.3, gap_s=1.0)],
    'scale_in': [dict(share=0.15), dict(share=0.2, how='stay', for_s=8.0)],
    'cold_return': [dict(for_s=3.0), dict(for_s=3.0, how='dark')],
    'answer_lost': [dict(share=0.5, x=0.05, for_s=5.0), dict(share=0.6, x=0.3, for_s=4.0, how='reset')],
    'garble': [dict(share=0.5, x=0.04, for_s=5.0, how=h) for h in ('', 'extra', 'extra late', 'unframed', 'early')],
    'node_kill': [dict(on='core', count=1, for_s=3.0, how=h)
                  for h in ('', 'power', 'leader', 'power leader', 'leader race drain', 'meet drain', 'reader')],
    'roll_term': [dict(share=1.0, gap_s=1.5), dict(share=0.5, gap_s=1.0, how='busy'), dict(share=0.3, gap_s=1.0, how='leader')],
    'herd_kill': [dict(share=0.6, for_s=2.0), dict(share=0.6, for_s=2.0, how='power')],
    'after_ack_kill': [dict(for_s=3.0, how=h) for h in ('', 'kill', 'timed')],
    'hup': [dict(share=0.6, gap_s=1.0)],
    'zone_loss': [dict(for_s=5.0)],
    'core_cut': [dict(count=1, for_s=5.0, how=h)
                 for h in ('', 'leader', 'leader one_way', 'leader race', 'near', 'meet', 'drain', 'reader')],
    'node_cut': [dict(share=0.2, for_s=5.0, how=h) for h in ('', 'all', 'servers', 'meet')],
    'lossy': [dict(x=0.03, for_s=5.0)],
    'platform_down': [dict(for_s=5.0, how=h) for h in ('silent', 'busy', 'reset', 'silent lapse', 'busy lapse')] +
                     [dict(for_s=8.0, share=0.35, how='nodes ' + h)
                      for h in ('silent', 'busy', 'many', 'reset', 'silent leader meet drain', 'many meet drain')],
    'platform_slow': [dict(x=60.0, for_s=5.0)],
    'platform_lost': [dict(x=0.4, for_s=5.0), dict(x=0.4, for_s=5.0, how='late')],
    'platform_compact': [dict(x=5.0, for_s=8.0), dict(x=5.0, for_s=8.0, how='drain')],
    'config_change': [dict(how=h) for h in ('route', 'weights', 'timeout', 'idle')],
    'big_config': [dict(count=350)],
    'config_storm': [dict()],
    'evacuate': [dict(for_s=8.0), dict(for_s=8.0, how='warm')],
    'node_freeze': [dict(share=0.2, for_s=3.0), dict(share=0.2, for_s=6.0), dict(share=0.2, for_s=3.0, how='renewed')],
    'node_slow': [dict(share=0.3, x=5.0, for_s=6.0)],
    'clock_step': [dict(share=0.4, x=2000, for_s=5.0, how=h) for h in ('', 'back', 'ahead')],
    'reset_conns': [dict(share=0.4, x=0.6, for_s=3.0)],
    'zone_cut': [dict(for_s=5.0)],
    'srv_lying_health': [dict(share=0.3, for_s=6.0)],
    'srv_flap': [dict(share=0.2, for_s=6.0)],
    'idle_race': [dict(share=0.5, for_s=6.0)],
}
PLANNED_KINDS = {'release', 'scale_out', 'scale_in', 'roll_term', 'hup', 'config_change', 'big_config', 'config_storm', 'evacuate'}

# Pairs of overlapping events in which the first takes away what the hosts need to handle the second.
OVERLAPPING_PAIRS = {
    'store-away-targets-move': [('platform_down', 4.0, dict(for_s=6.0, how='silent lapse')), ('release', 5.0, dict(share=0.5, gap_s=0.5))],
    'hosts-turned-away-evacuation': [('platform_down', 4.0, dict(for_s=8.0, share=0.35, how='nodes many')), ('evacuate', 5.0, dict(for_s=8.0))],
    'cut-at-the-peak': [('node_cut', 8.0, dict(share=0.3, for_s=6.0, how='all')), ('burst', 8.0, dict(x=1.8, for_s=5.0))],
    'all-killed-after-a-change': [('config_change', 10.0, dict(how='route')), ('herd_kill', 10.05, dict(share=1.0, for_s=2.0))],
    'writer-frozen': [('node_freeze', 10.0, dict(count=1, for_s=5.0, how='leader')), ('config_change', 11.0, dict(how='route'))],
    'stop-while-answering': [('roll_term', 5.0, dict(share=1.0, gap_s=1.0, how='busy')), ('srv_slow', 5.0, dict(share=0.4, x=5.0, for_s=10.0))],
    'addresses-reused-store-away': [('platform_down', 5.0, dict(for_s=6.0, how='busy')), ('replace_with_reuse', 5.5, dict(share=0.3, how='dark'))],
    'cold-while-turned-away': [('platform_down', 5.0, dict(for_s=8.0, share=0.5, how='nodes reset')), ('cold_return', 6.0, dict(for_s=2.0))],
    'freeze-during-evacuation': [('node_freeze', 8.0, dict(share=0.3, for_s=4.0)), ('evacuate', 9.0, dict(for_s=8.0))],
    'compaction-during-scale-in': [('platform_compact', 6.0, dict(x=6.0, for_s=10.0, how='drain')), ('scale_in', 8.0, dict(share=0.25))],
    'zone-lost-on-a-lossy-line': [('zone_loss', 8.0, dict(for_s=5.0)), ('lossy', 6.0, dict(x=0.03, for_s=10.0))],
    'reset-connections-while-stopping': [('reset_conns', 6.0, dict(share=0.5, x=0.6)), ('roll_term', 6.0, dict(share=0.5, gap_s=1.0))],
}


def format_entry(kind, at, fields):
    fields_text = [f'at = {at}', f'kind = "{kind}"']
    for name, value in fields.items():
        fields_text.append(f'{name} = "{value}"' if isinstance(value, str) else f'{name} = {value}')
    return '  { ' + ', '.join(fields_text) + ' },'


def write_day(folder, name, seed, entries):
    lines = [f'name = "{name}"', 'slot = "trouble"', f'seed = {seed}']
    for group in ('plan', 'faults'):
        part = [format_entry(*e) for e in entries if (e[0] in PLANNED_KINDS) == (group == 'plan')]
        if part:
            lines += [f'{group} = ['] + part + [']']
    (folder / f'{name}.toml').write_text('\n'.join(lines) + '\n')


def main():
    folder = pathlib.Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    seed = 100
    for kind, variants in VARIANTS_BY_KIND.items():
        for number, fields in enumerate(variants, 1):
            seed += 1
            name = f'{kind}-{number}'
            # Occurs at the start and again in the middle.
            write_day(folder, name, seed, [(kind, 0.5, fields), (kind, 16.0, fields)])
    for name, entries in OVERLAPPING_PAIRS.items():
        seed += 1
        write_day(folder, name, seed, entries)


if __name__ == '__main__':
    main()
