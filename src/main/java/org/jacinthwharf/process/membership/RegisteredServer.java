package org.jacinthwharf.process.membership;

import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.wire.generated.ServerAnnouncement;

/**
 * What is known of one backend server.
 *
 * <p>Immutable.
 *
 * @param id the server
 * @param announcement its last accepted announcement
 * @param receivedNanos time at which that announcement arrived
 * @param cold whether its cold limit applies
 * @param suspect whether it gets no new work, because it is silent or connections to it fail
 */
public record RegisteredServer(
        BackendServerId id,
        ServerAnnouncement announcement,
        long receivedNanos,
        boolean cold,
        boolean suspect) {

    /** Returns the limit that applies to requests running at the server. */
    public int limit() {
        return cold ? announcement.getColdLimit() : announcement.getWarmLimit();
    }
}
