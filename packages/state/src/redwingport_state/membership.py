"""The view that one process has of all VMs."""

from dataclasses import dataclass, field

from redwingport_messages.vms import VmInfo, VmKind, VmList


@dataclass(slots=True)
class MembershipView:
    """Merge the platform's list with what peers and backend servers say.

    :param vm_list: the newest list of the platform.
    :param leaving: VMs known to be leaving, from any source.
    :param incarnation_by_vm: the incarnation that last answered at each entry VM.
    :param weight_by_vm: sizes of entry VMs as they state them.
    :param dropped: VMs that an earlier list had and the one in force has not.
    """

    vm_list: VmList = field(default_factory=lambda: VmList(version=0))
    info_by_vm: dict[str, VmInfo] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    incarnation_by_vm: dict[str, str] = field(default_factory=dict)
    weight_by_vm: dict[str, float] = field(default_factory=dict)
    dropped: set[str] = field(default_factory=set)

    def apply(self, vm_list: VmList) -> bool:
        """Take a list of the platform unless it is older than the one in force.

        A VM that is known to be leaving stays so until the list drops it: the list lags, and
        an older view must not send new work to a leaving server. A VM that was never listed
        stays so as well, as a notice may arrive before the list that has the VM.

        :returns: whether the list was new.
        """
        if not self._is_new(vm_list):
            return False
        info_by_vm = {info.vm: info for info in vm_list.vms}
        self._forget(self.info_by_vm.keys() - info_by_vm.keys())
        self.vm_list = vm_list
        self.info_by_vm = info_by_vm
        self.dropped -= info_by_vm.keys()
        self.leaving |= {info.vm for info in vm_list.vms if info.leaving}
        return True

    def mark_leaving(self, vm: str) -> bool:
        """Note that a VM is leaving.

        A VM that the list has dropped is not marked: its last answers arrive after the drop,
        and the mark would keep work from a restarted VM of the same name.

        :returns: whether that is news.
        """
        if vm in self.leaving or vm in self.dropped:
            return False
        self.leaving.add(vm)
        return True

    def of_kind(self, kind: VmKind) -> list[VmInfo]:
        """Return the listed VMs of one role, in the order of the list."""
        return [info for info in self.vm_list.vms if info.kind is kind]

    def entries_in(self, domain: str) -> list[VmInfo]:
        """Return the listed entry VMs of one failure domain."""
        return [info for info in self.of_kind(VmKind.ENTRY) if info.domain == domain]

    def is_gone(self, vm: str, incarnation: str) -> bool:
        """Tell whether an incarnation is known to have ended.

        It has when its VM answers with another incarnation, or when the list has dropped its
        VM. A VM that was never listed may be new, as the list lags.
        """
        current = self.incarnation_by_vm.get(vm)
        if current is not None:
            return current != incarnation
        return vm in self.dropped

    def _is_new(self, vm_list: VmList) -> bool:
        if vm_list.version != self.vm_list.version:
            return vm_list.version > self.vm_list.version
        # The view starts with an empty list of version 0, and so may the platform.
        return bool(vm_list.vms) and not self.vm_list.vms

    def _forget(self, vms: set[str]) -> None:
        self.dropped |= vms
        self.leaving -= vms
        for vm in vms:
            self.incarnation_by_vm.pop(vm, None)
            self.weight_by_vm.pop(vm, None)
