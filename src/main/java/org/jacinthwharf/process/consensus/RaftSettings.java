package org.jacinthwharf.process.consensus;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSortedSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.MemberId;

/**
 * The settings of a member, which it uses before it has read its log.
 *
 * <p>Immutable.
 *
 * @param self VM that the member runs on
 * @param configured VMs of the first members; on later starts, VMs that may run members
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
        checkArgument(!configured.isEmpty(), "no configured member VM for %s", self);
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
