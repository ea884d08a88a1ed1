package org.jacinthwharf.process.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.VmId;

/**
 * Chooses the owner of a backend server by rendezvous hashing, so that adding or removing a member
 * moves only the servers that this member owns.
 *
 * <p>Stateless and thread-safe. The hash is part of the protocol: all routers must use the same
 * one.
 */
public final class ServerOwners {
    private ServerOwners() {}

    /** Returns the owner of {@code server}, or empty without members. One hash per member. */
    public static Optional<VmId> ownerOf(BackendServerId server, Collection<VmId> members) {
        return members.stream()
                .max(
                        Comparator.<VmId>comparingLong(member -> score(server, member))
                                .thenComparing(Comparator.naturalOrder()));
    }

    private static long score(BackendServerId server, VmId member) {
        // Ids cannot contain the separator, so different pairs hash different texts.
        return Hashing.sipHash24()
                .hashString(server.value() + "|" + member.value(), StandardCharsets.UTF_8)
                .asLong();
    }
}
