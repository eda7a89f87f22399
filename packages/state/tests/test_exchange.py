"""Tests of document and membership exchange: reverted revisions and revived leaving VMs."""

from collections.abc import Iterable

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from redwingport_messages.documents import ServiceDocument, StoredDocument
from redwingport_messages.vms import VmInfo, VmKind, VmList
from redwingport_state.documents import DocumentStore
from redwingport_state.membership import MembershipView

NAMES = ("print", "scan")
VMS = ("worker-1", "worker-2", "worker-3")
PROCESS = st.integers(0, 1)
PICK = st.integers(0, 1_000)


def make_list(version: int, vms: Iterable[str], leaving: Iterable[str] = ()) -> VmList:
    infos = (
        VmInfo(
            vm=vm,
            kind=VmKind.WORKER,
            domain="farm-office",
            host="127.0.0.1",
            port=1,
            leaving=vm in leaving,
        )
        for vm in sorted(vms)
    )
    return VmList(version=version, vms=tuple(infos))


class DocumentMachine(RuleBasedStateMachine):
    """Deliver documents to two processes late, repeatedly and in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.published: dict[str, list[StoredDocument]] = {name: [] for name in NAMES}
        self.stores = [DocumentStore(), DocumentStore()]
        self.highest_seen = [dict.fromkeys(NAMES, 0), dict.fromkeys(NAMES, 0)]

    @rule(name=st.sampled_from(NAMES), deleted=st.booleans())
    def publish(self, name: str, deleted: bool) -> None:
        revision = len(self.published[name]) + 1
        document = ServiceDocument(name=name, team="dairy", deleted=deleted)
        self.published[name].append(StoredDocument(revision, document))

    @rule(process=PROCESS, name=st.sampled_from(NAMES), pick=PICK)
    def receive_any_revision(self, process: int, name: str, pick: int) -> None:
        if self.published[name]:
            self.offer(process, self.published[name][pick % len(self.published[name])])

    @rule(process=PROCESS)
    def pass_on_all_documents(self, process: int) -> None:
        for stored in list(self.stores[process].stored_by_name.values()):
            self.offer(1 - process, stored)

    @rule(process=PROCESS)
    def restart_and_sync(self, process: int) -> None:
        self.stores[process] = DocumentStore()
        self.highest_seen[process] = dict.fromkeys(NAMES, 0)
        self.pass_on_all_documents(1 - process)

    def offer(self, process: int, stored: StoredDocument) -> None:
        highest = self.highest_seen[process]
        taken = self.stores[process].offer(stored)
        assert taken == (stored.revision > highest[stored.name])
        highest[stored.name] = max(highest[stored.name], stored.revision)

    @invariant()
    def the_highest_revision_seen_is_in_force(self) -> None:
        for store, highest in zip(self.stores, self.highest_seen, strict=True):
            assert {name: store.revision(name) for name in NAMES} == highest
            for name, revision in highest.items():
                document = self.published[name][revision - 1].document if revision else None
                expected = None if document is None or document.deleted else document
                assert store.get(name) == expected
            assert [s.name for s in store.live()] == [n for n in NAMES if store.get(n)]


TestDocuments = DocumentMachine.TestCase


class MembershipMachine(RuleBasedStateMachine):
    """Deliver VM lists and notices to two processes late, repeatedly and in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.lists = [make_list(0, VMS)]
        self.views = [MembershipView(), MembershipView()]
        self.dropped: list[set[str]] = [set(), set()]

    @rule(vms=st.sets(st.sampled_from(VMS)), leaving=st.sets(st.sampled_from(VMS)))
    def change_list(self, vms: set[str], leaving: set[str]) -> None:
        self.lists.append(make_list(len(self.lists), vms, leaving))

    @rule(process=PROCESS, pick=PICK)
    def receive_any_list(self, process: int, pick: int) -> None:
        vm_list = self.lists[pick % len(self.lists)]
        view = self.views[process]
        listed, leaving, version = set(view.info_by_vm), set(view.leaving), view.vm_list.version
        taken = view.apply(vm_list)
        assert view.vm_list.version == max(version, vm_list.version), "an older list was applied"
        assert taken or vm_list.version <= version
        dropped = listed - set(view.info_by_vm)
        assert view.leaving >= leaving - dropped, "a leaving server became available again"
        assert not view.leaving & dropped
        self.dropped[process] = (self.dropped[process] | dropped) - set(view.info_by_vm)
        if taken:
            assert view.leaving >= {info.vm for info in vm_list.vms if info.leaving}

    @rule(process=PROCESS, vm=st.sampled_from(VMS))
    def notice_leaving(self, process: int, vm: str) -> None:
        view = self.views[process]
        known = vm in view.leaving
        marked = view.mark_leaving(vm)
        assert not (known and marked), (
            "a repeated notice was reported as new and would circulate among peers"
        )
        assert (vm in view.leaving) == (vm not in self.dropped[process])

    @rule(process=PROCESS)
    def pass_on_notices(self, process: int) -> None:
        for vm in sorted(self.views[process].leaving):
            self.notice_leaving(1 - process, vm)

    @rule(process=PROCESS)
    def restart(self, process: int) -> None:
        self.views[process] = MembershipView()
        self.dropped[process] = set()


TestMembership = MembershipMachine.TestCase


def test_leaving_notice_before_the_first_listing_is_kept() -> None:
    """Guard against losing a peer's notice about a VM that the local list does not have yet."""
    view = MembershipView()
    view.apply(make_list(5, ["worker-1"]))
    assert view.mark_leaving("worker-2")
    view.apply(make_list(6, ["worker-1"]))
    view.apply(make_list(7, ["worker-1", "worker-2"]))
    assert view.leaving == {"worker-2"}


def test_leaving_notice_after_the_drop_does_not_block_a_restarted_server() -> None:
    """Guard against late responses of a dropped server marking its successor as leaving."""
    view = MembershipView()
    view.apply(make_list(1, ["worker-1", "worker-2"]))
    view.mark_leaving("worker-2")
    view.apply(make_list(2, ["worker-1"]))
    assert not view.mark_leaving("worker-2")
    view.apply(make_list(3, ["worker-1", "worker-2"]))
    assert view.leaving == set()
    assert view.mark_leaving("worker-2")


def test_empty_list_is_not_replaced_by_an_older_one() -> None:
    """Guard against an older list being applied because the list in force is empty."""
    view = MembershipView()
    assert view.apply(make_list(0, ["worker-1"])), "the first list, of version 0, was not applied"
    assert view.apply(make_list(4, ["worker-1"]))
    assert view.apply(make_list(5, []))
    assert not view.apply(make_list(4, ["worker-1"]))


def test_incarnation_on_a_dropped_vm_has_ended() -> None:
    """Guard against callers being told to retry indefinitely on a VM that no longer exists."""
    view = MembershipView()
    assert not view.has_ended("worker-2", "0a"), "ended although no list has been applied"
    view.apply(make_list(1, ["worker-1", "worker-2"]))
    view.incarnation_by_vm["worker-2"] = "0a"
    view.weight_by_vm["worker-2"] = 4.0
    assert not view.has_ended("worker-2", "0a")
    assert view.has_ended("worker-2", "0b")
    view.apply(make_list(2, ["worker-1"]))
    assert view.has_ended("worker-2", "0a")
    assert view.weight_by_vm == {}


def test_incarnation_on_an_unlisted_vm_has_not_ended() -> None:
    """Guard against a final answer to an id issued by a process that is not listed yet."""
    view = MembershipView()
    assert view.apply(make_list(1, ["worker-1"]))
    assert not view.has_ended("worker-9", "0a")
