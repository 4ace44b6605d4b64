"""Case 6: a zone is cut off and evacuated meanwhile. Requests that were sent into the cut and given up since run there
seconds after the evacuation was acknowledged."""

import asyncio
import pathlib
import random
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common-2"))
import deployment as d  # noqa: E402

ZONES = {"kochi-a": "kochi", "tvm-a": "tvm", "tvm-b": "tvm"}
NODES = ["tvm-a", "tvm-a", "kochi-a", "kochi-a"]
UPSTREAMS = ["tvm-a"] * 4 + ["tvm-b"] * 4
CUT_ZONE = "tvm-b"
BOUNDS = {**d.BOUNDS, "budget_extra_tries": 60, "cold_slack": 5, "drain": "2000ms", "stable_window": "3000ms"}
EVACUATION_S, STABLE_WINDOW_S = 5.0, 3.0  # These and the bounds: the sheet of tlw-switchhub.
RATE, WORK_S = 200, 0.25
TRAFFIC_S, CUT_AT, EVACUATE_AT, HEAL_AT, TAKE_BACK_AT = 18.0, 6.0, 6.6, 9.5, 14.6
# What is held up is sent again after these times, as TCP does that waits 0.2 s first and twice as long each time.
SENT_AGAIN_S = (0.2, 0.6, 1.4, 3.0, 6.2, 12.6)


class Link:
    """The links to one upstream of the zone that is cut off. Bytes that arrive during the cut on a connection that was
    there before are held up; they are lost if their sender resets the connection (DEPLOY.md, "Network"). A connection that
    is opened during the cut carries nothing."""

    def __init__(self, play, upstream):
        self.play, self.upstream = play, upstream
        self.cut_at = self.healed_at = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self._serve, ip, 0)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def is_cut(self):
        return self.cut_at is not None and self.healed_at is None

    async def _serve(self, reader, writer):
        if self.is_cut():
            while await reader.read(65536):
                pass
            return
        other_reader, other_writer = await asyncio.open_connection(self.upstream.ip, self.upstream.port)
        back = asyncio.create_task(self._pass_on(other_reader, writer, asyncio.Event()))
        reset = asyncio.Event()
        try:
            await self._pass_on(reader, other_writer, reset)
        finally:
            if reset.is_set():
                back.cancel()
            await asyncio.gather(back, return_exceptions=True)

    async def _pass_on(self, reader, writer, reset):
        """Passes bytes and the end on, each when the network does."""
        loop, turn = asyncio.get_running_loop(), asyncio.Lock()
        pending = []

        async def deliver(chunk, sent_at):
            async with turn:
                if self.is_cut() or (self.healed_at and sent_at < self.healed_at):
                    while self.is_cut():
                        await asyncio.sleep(0.005)
                    due = next(sent_at + wait for wait in SENT_AGAIN_S if sent_at + wait >= self.healed_at)
                    await asyncio.sleep(max(0.0, due - d.now()))
                if reset.is_set():
                    return
                if chunk:
                    writer.write(chunk)
                    await writer.drain()
                else:
                    writer.close()

        try:
            while True:
                chunk = await reader.read(65536)
                pending.append(loop.create_task(deliver(chunk, d.now())))
                if not chunk:
                    break
        except ConnectionError:
            reset.set()
            writer.transport.abort()
        await asyncio.gather(*pending, return_exceptions=True)


async def main():
    play = d.Deployment(CASE)
    await play.start_store()
    await play.store.put("op", "config", {"version": 1, "resources": [
        d.route("status", "/status/", "idempotent", "switch-status", timeout="1000ms", target_latency="400ms"),
        d.route("sweeps", "/sweep/", "non_idempotent", "switch-status", timeout="1000ms", target_latency="400ms"),
        d.service("switch-status", "0ms", 1000), d.LIMITS]})
    links = []
    for number, zone in enumerate(UPSTREAMS):
        upstream = d.Upstream(play, f"i-{number:02d}", "switch-status", zone, f"127.{play.net}.2.{number + 1}",
                              work=lambda head: WORK_S)
        if zone == CUT_ZONE:
            link = Link(play, upstream)
            upstream.told_address = await link.start(f"127.{play.net}.3.{number + 1}")
            links.append(link)
        await upstream.start()
        play.upstreams.append(upstream)
    for number, zone in enumerate(NODES):
        play.nodes.append(d.Node(play, number + 1, zone, ZONES[zone], ZONES, BOUNDS))
    try:
        for node in play.nodes:
            node.start()
        await play.wait_ready()
        await asyncio.sleep(8)  # Traffic starts 8 s after the machines do.
        play.began = d.now()
        await asyncio.gather(traffic(play), cut(play, links), operator(play))
    finally:
        play.end()
    return judge(play)


async def at(play, second):
    await asyncio.sleep(max(0.0, play.began + second - d.now()))


async def traffic(play):
    client, calls = d.Client(play), []
    for number in range(int(RATE * TRAFFIC_S)):
        await at(play, number / RATE)
        method, path = ("GET", "/status/") if number % 3 else ("POST", "/sweep/")
        calls.append(asyncio.create_task(client.call(random.choice(play.nodes), method, f"{path}{number}", 2000)))
    await asyncio.gather(*calls)


async def cut(play, links):
    if not play.trouble:
        return
    await at(play, CUT_AT)
    for link in links:
        link.cut_at = d.now()
    play.record("cut", zone=CUT_ZONE)
    await at(play, HEAL_AT)
    for link in links:
        link.healed_at = d.now()
    play.record("healed", zone=CUT_ZONE)


async def operator(play):
    await at(play, EVACUATE_AT)
    await play.store.put("op", f"evacuate/{CUT_ZONE}", {})
    play.record("evacuated", zone=CUT_ZONE)
    await at(play, TAKE_BACK_AT)
    await play.store.remove("op", f"evacuate/{CUT_ZONE}")
    play.record("taken-back", zone=CUT_ZONE)


def judge(play):
    moment = {what: at for at, what, _ in play.events if what in ("evacuated", "taken-back", "healed")}
    # From here on the rule counts: `evacuation` after the acknowledgement, and `stable_window` after the cut.
    begin = max(moment["evacuated"] + EVACUATION_S, moment.get("healed", 0.0) + STABLE_WINDOW_S)
    zone = {upstream.id for upstream in play.upstreams if upstream.zone == CUT_ZONE}
    answers = {fields["request"]: (at, fields["status"]) for at, what, fields in play.events if what == "got"}
    paths = {fields["request"]: fields["path"] for _, what, fields in play.events if what == "sent"}
    late = [(at, fields["request"]) for at, what, fields in play.events
            if what == "arrived" and fields["upstream"] in zone and begin < at < moment["taken-back"]]
    held = not late
    conclusion = [f"EVAC {'held' if held else 'broken'}: {len(late)} requests reached the evacuated zone after "
                  f"{begin:.3f} s; it was evacuated at {moment['evacuated']:.3f} s"]
    for at, request in late:
        answered_at, status = answers[request]
        conclusion.append(f"  {request} {paths[request]}: client got {status} at {answered_at:.3f} s, arrived at {at:.3f} s")
    conclusion.append(f"{len(paths)} requests sent, {sum(1 for _, status in answers.values() if status == '200')} answered 200")
    play.write_record(conclusion)
    print("\n".join(conclusion))
    return held


d.run(main)
