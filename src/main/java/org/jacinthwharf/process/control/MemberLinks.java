package org.jacinthwharf.process.control;

import com.google.common.collect.Iterables;
import com.google.common.collect.LinkedHashMultimap;
import com.google.common.collect.SetMultimap;
import java.util.Optional;
import org.jacinthwharf.connection.Link;
import org.jacinthwharf.id.VmId;
import org.jacinthwharf.wire.generated.Envelope;

/**
 * The links to the other control members.
 *
 * <p>Used on the event loop only. Each side opens a link, so there are up to two per member; the
 * one that came up last is used. Invariant: a member is found while any link to it is up.
 */
public final class MemberLinks {
    private final SetMultimap<String, Link> mLinks = LinkedHashMultimap.create();

    void onUp(Link link) {
        mLinks.put(link.peer().getVmId(), link);
    }

    void onDown(Link link) {
        mLinks.remove(link.peer().getVmId(), link);
    }

    /** Returns the link to a member, if it is up. */
    public Optional<Link> find(VmId member) {
        return Optional.ofNullable(Iterables.getLast(mLinks.get(member.value()), null));
    }

    /** Sends to a member; returns false if the message was dropped. */
    public boolean send(VmId member, Envelope message) {
        return find(member).map(l -> l.send(message)).orElse(false);
    }
}
