"""An in-memory object store with the platform's conditional writes and its faults.

``Store`` is synchronous, so that tests with virtual time can call it;
``FakeObjectStore`` adds the asyncio interface of ``results.ObjectStore``.
"""

import asyncio

from returns import result

from cornelreach.platform import results


class Store:
    """Versioned objects with the full history of their changes."""

    def __init__(self):
        self.revision = 0
        self.records = {}
        self.history = []
        self.compacted = 0

    def write(self, key, value, if_version):
        """Carry out a conditional write; a value of None deletes the object."""
        current = self.records.get(key)
        current_version = current.version if current else 0
        if current_version != if_version:
            return result.Failure(results.Conflict(key, current_version))
        self.revision += 1
        record = results.Record(key, self.revision, value)
        if current is not None:
            record = record._replace(created=current.created, status=current.status)
        self.history.append(record)
        if value is None:
            self.records.pop(key, None)
        else:
            self.records[key] = record
        return result.Success(self.revision)

    def create(self, key, value):
        """Create an object with the revision as the time of its creation."""
        self.write(key, value, 0)
        created = self.records[key]._replace(created=self.revision)
        self.records[key] = self.history[-1] = created
        return created

    def write_status(self, key, status, if_version):
        """Carry out a conditional write of a status; the same one changes nothing."""
        current = self.records.get(key)
        if current is None:
            return result.Failure(results.NotFound(key))
        if current.version != if_version:
            return result.Failure(results.Conflict(key, current.version))
        if current.status == status:
            return result.Success(current.version)
        self.revision += 1
        record = current._replace(version=self.revision, status=status)
        self.history.append(record)
        self.records[key] = record
        return result.Success(self.revision)

    def read(self, key):
        """Return an object."""
        if key not in self.records:
            return result.Failure(results.NotFound(key))
        return result.Success(self.records[key])

    def listing(self, prefix):
        """Return the objects under a prefix."""
        found = [self.records[key] for key in sorted(self.records)]
        kept = tuple(record for record in found if record.key.startswith(prefix))
        return results.Listing(self.revision, kept)

    def listing_at(self, prefix, revision):
        """Return the objects under a prefix as of a revision."""
        found = {}
        for record in self.history[:revision]:
            found[record.key] = record
        kept = sorted(
            record
            for record in found.values()
            if record.key.startswith(prefix) and record.value is not None
        )
        return results.Listing(revision, tuple(kept))

    def changes(self, prefix, since):
        """Return the changes after a revision."""
        if since < self.compacted:
            return result.Failure(results.Compacted(since))
        kept = tuple(
            record
            for record in self.history
            if record.version > since and record.key.startswith(prefix)
        )
        return result.Success(results.Changes(self.revision, kept))


class FakeObjectStore:
    """Asyncio interface of a store; ``faults`` has an entry for each coming call.

    An entry is None, ``unavailable`` (the call fails as Unavailable) or one of three
    that return OutcomeUnknown: ``lost`` (the write is applied), ``dropped`` (it is not)
    and ``late`` (it is applied after the next call).
    """

    def __init__(self, store=None):
        self.store = store or Store()
        self.faults = []
        self.before_write = []
        self.entries = ()
        self.calls = []
        self.late_writes = []

    def _fault(self, kind):
        self.calls.append(kind)
        due_writes = [
            apply for due_call, apply in self.late_writes if due_call <= len(self.calls)
        ]
        self.late_writes = [
            entry for entry in self.late_writes if entry[0] > len(self.calls)
        ]
        for apply in due_writes:
            apply()
        return self.faults.pop(0) if self.faults else None

    async def get(self, key):
        """Return one object."""
        if self._fault("get"):
            return result.Failure(results.Unavailable("unavailable"))
        return self.store.read(key)

    async def put(self, key, value, if_version=None, if_absent=False):
        """Write an object conditionally."""
        return self._write("put", key, value, 0 if if_absent else if_version)

    async def put_status(self, key, status, if_version):
        """Write a status conditionally."""
        write = self.store.write_status
        return self._write("put_status", key, status, if_version, write)

    async def delete(self, key, if_version):
        """Delete an object conditionally."""
        return self._write("delete", key, None, if_version)

    def _write(self, kind, key, value, if_version, write=None):
        write = write or self.store.write
        fault = self._fault(kind)
        if fault == "unavailable":
            return result.Failure(results.Unavailable("unavailable"))
        if self.before_write:
            self.before_write.pop(0)()
        if fault == "late":
            due_call = len(self.calls) + 2
            self.late_writes.append((due_call, lambda: write(key, value, if_version)))
        if fault in ("dropped", "late"):
            return result.Failure(results.OutcomeUnknown(key, "lost"))
        outcome = write(key, value, if_version)
        if fault == "lost":
            return result.Failure(results.OutcomeUnknown(key, "lost"))
        return outcome

    async def list(self, prefix, after=""):
        """Return all objects under a prefix."""
        if self._fault("list"):
            return result.Failure(results.Unavailable("unavailable"))
        found = self.store.listing(prefix)
        kept = tuple(record for record in found.records if record.key > after)
        return result.Success(found._replace(records=kept))

    async def watch(self, prefix, since, wait_ms, margin_ms=0):
        """Return the changes; waits briefly if there are none."""
        if self._fault("watch"):
            return result.Failure(results.Unavailable("unavailable"))
        found = self.store.changes(prefix, since)
        if isinstance(found, result.Success) and not found.unwrap().records:
            await asyncio.sleep(0.001)
        return found

    async def instances(self):
        """Return the list of instances."""
        if self._fault("instances"):
            return result.Failure(results.Unavailable("unavailable"))
        return result.Success(self.entries)
