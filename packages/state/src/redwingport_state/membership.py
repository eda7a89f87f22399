"""Membership view: the VMs known to one process."""

from dataclasses import dataclass, field

from redwingport_messages.vms import VmInfo, VmKind, VmList


@dataclass(slots=True)
class MembershipView:
    """Merge the platform's VM list with information from peers and backend servers.

    :param vm_list: newest VM list of the platform.
    :param info_by_vm: descriptions of the VMs on that list, by VM name.
    :param leaving: VMs known to be leaving, from any source.
    :param incarnation_by_vm: last known incarnation on each entry VM.
    :param weight_by_vm: relative sizes of entry VMs as reported by themselves.
    :param dropped: VMs of earlier lists that are missing from the list in force.
    """

    vm_list: VmList = field(default_factory=lambda: VmList(version=0))
    info_by_vm: dict[str, VmInfo] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    incarnation_by_vm: dict[str, str] = field(default_factory=dict)
    weight_by_vm: dict[str, float] = field(default_factory=dict)
    dropped: set[str] = field(default_factory=set)

    def apply(self, vm_list: VmList) -> bool:
        """Apply a VM list of the platform unless it is older than the one in force.

        A VM stays marked as leaving until a list drops it: lists lag, and an outdated list must
        not make a leaving server available for new work. The mark of a VM that has never been
        listed is kept too, since a notice may arrive before the first list with the VM.

        :param vm_list: the received list.
        :returns: whether the list has been applied.
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
        """Mark a VM as leaving.

        A dropped VM is not marked: its last responses arrive after the drop, and the mark would
        block new work for a restarted VM of the same name.

        :param vm: name of the VM.
        :returns: whether the VM has been marked by this call.
        """
        if vm in self.leaving or vm in self.dropped:
            return False
        self.leaving.add(vm)
        return True

    def of_kind(self, kind: VmKind) -> list[VmInfo]:
        """Return the listed VMs of one kind, in list order."""
        return [info for info in self.vm_list.vms if info.kind is kind]

    def entry_vms_in(self, domain: str) -> list[VmInfo]:
        """Return the listed entry VMs of one failure domain."""
        return [info for info in self.of_kind(VmKind.ENTRY) if info.domain == domain]

    def has_ended(self, vm: str, incarnation: str) -> bool:
        """Return whether an incarnation is known to have ended.

        This is the case if another incarnation is known on its VM, or if none is known and the
        list has dropped the VM. A VM that has never been listed may be new, since the list lags.
        """
        current = self.incarnation_by_vm.get(vm)
        if current is not None:
            return current != incarnation
        return vm in self.dropped

    def _is_new(self, vm_list: VmList) -> bool:
        if vm_list.version != self.vm_list.version:
            return vm_list.version > self.vm_list.version
        # The initial empty list has version 0, and so may the first list of the platform, which
        # has to replace it.
        return bool(vm_list.vms) and not self.vm_list.vms

    def _forget(self, vms: set[str]) -> None:
        self.dropped |= vms
        self.leaving -= vms
        for vm in vms:
            self.incarnation_by_vm.pop(vm, None)
            self.weight_by_vm.pop(vm, None)
