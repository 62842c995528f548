"""The platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time

PAGE_ITEMS = 500
PAGE_BYTES = 1000000
MOST_ENTRIES = 32
VALUE_BYTES = 1048576
HISTORY_S = 20
PROTECTED = ("op/", "servers/")


class Store:
    def __init__(self, note):
        self.note = note
        self.items = {}
        self.history = []  # (time, revision, key, item or None)
        self.dropped = 0   # the history up to this revision is gone
        self.revision = 1
        self.leases = {}   # id: [ttl in s, end]
        self.last_lease = 100
        self.changed = asyncio.Event()
        self.down = False

    # For the operator and the workers.

    def put(self, key, value, lease=0):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        self._set(key, text, lease)
        self._wake()

    def drop(self, key):
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._wake()

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    async def keep_time(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.down:
                for lease in self.leases.values():
                    lease[1] += 0.02  # leases pause while the store is down
                continue
            for number in [each for each, lease in self.leases.items() if lease[1] <= now]:
                self._end_lease(number)
            while self.history and self.history[0][0] < now - HISTORY_S:
                self.dropped = self.history.pop(0)[1]

    # Calls.

    async def handle(self, request):
        if self.down:
            return None  # silent
        if request.path == "/v1/kv-watch":
            return await self._watch(request)
        return self._answer(request)

    def _answer(self, request):
        path = request.path
        if path == "/v1/kv-key":
            item = self.items.get(request.query.get("key", ""))
            return (200, {**item, "storeRevision": self.revision}) if item else (404, {})
        if path == "/v1/kv-range":
            return self._range(request)
        if path == "/v1/kv-txn":
            return self._commit(request.json())
        if path == "/v1/kv-lease":
            ttl = max(request.json()["ttlMs"], 1000)
            self.last_lease += 1
            self.leases[self.last_lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"lease": self.last_lease, "ttlMs": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {"ttlMs": int(lease[0] * 1000)}
        if path.startswith("/v1/kv-lease-end/"):
            number = int(path.rsplit("/", 1)[1])
            if number not in self.leases:
                return 404, {}
            self._end_lease(number)
            return 200, {}
        return 404, {}

    def _range(self, request):
        prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys:
            if len(page) >= PAGE_ITEMS or (page and size > PAGE_BYTES):
                break
            page.append(self.items[key])
            size += len(self.items[key]["value"])
        return 200, {"items": page, "hasMore": len(page) < len(keys),
                     "storeRevision": self.revision}

    async def _watch(self, request):
        prefix = request.query.get("prefix", "")
        after = int(request.query.get("after", "0"))
        end = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
        while True:
            if after < self.dropped:
                return 410, {}
            events = [self._event(key, revision, item)
                      for _, revision, key, item in self.history
                      if revision > after and key.startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass
            if self.down:
                return None

    @staticmethod
    def _event(key, revision, item):
        return item if item else {"key": key, "revision": revision, "tombstone": True}

    def _commit(self, body):
        expected = body.get("expectedRevision", [])
        written, removed = body.get("setKeys", []), body.get("remove", [])
        if len(expected) + len(written) + len(removed) > MOST_ENTRIES:
            return 400, {}
        if any(key.startswith(PROTECTED)
               for key in [each["key"] for each in written] + removed):
            return 403, {}
        values = {each["key"]: base64.b64decode(each["value"]) for each in written}
        for key, value in values.items():
            if len(value) > VALUE_BYTES or len(key) > 200:
                self.note("store refused", key=key, bytes=len(value))
                return 400, {}
        for each in expected:
            item = self.items.get(each["key"])
            if (item["revision"] if item else 0) != each["revision"]:
                return 412, {"items": [self.items[one["key"]] for one in expected
                                       if one["key"] in self.items]}
        if any(each.get("lease", 0) and each["lease"] not in self.leases for each in written):
            return 404, {}
        self.revision += 1
        for each in written:
            self._set(each["key"], values[each["key"]], each.get("lease", 0))
        for key in removed:
            self._remove(key)
        self._wake()
        return 200, {"revision": self.revision}

    def _set(self, key, text, lease):
        before = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(text).decode(), "revision": self.revision,
                "created": before["created"] if before else self.revision, "lease": lease}
        self.items[key] = item
        self.history.append((time.monotonic(), self.revision, key, item))

    def _remove(self, key):
        if self.items.pop(key, None):
            self.history.append((time.monotonic(), self.revision, key, None))

    def _end_lease(self, number):
        del self.leases[number]
        keys = [key for key, item in self.items.items() if item["lease"] == number]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()
