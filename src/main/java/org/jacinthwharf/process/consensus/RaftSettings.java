package org.jacinthwharf.process.consensus;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSortedSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.MemberId;

/**
 * What a member knows of its group before it reads its log.
 *
 * <p>Immutable.
 *
 * @param self VM that the member runs on
 * @param configured VMs of the first members; at a later start, some VMs that may be members
 * @param mayFound whether this member may found a group if every configured member is empty; if
 *     false, an empty member only joins an existing group
 */
public record RaftSettings(VmId self, ImmutableSortedSet<VmId> configured, boolean mayFound) {
    /**
     * Creates settings.
     *
     * @throws IllegalArgumentException if no VM is configured
     */
    public RaftSettings {
        checkArgument(!configured.isEmpty(), "%s knows no VM of a member", self);
    }

    /** Returns the only VM whose member may found the group. */
    VmId founder() {
        return configured.first();
    }

    /** Returns the VMs of all members and configured members but this one. */
    Set<String> peerVms(List<MemberId> members) {
        Set<String> result = new TreeSet<>();
        members.forEach(m -> result.add(m.getVmId()));
        configured.forEach(vm -> result.add(vm.value()));
        result.remove(self.value());
        return result;
    }
}
