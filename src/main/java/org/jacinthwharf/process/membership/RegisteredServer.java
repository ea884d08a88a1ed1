package org.jacinthwharf.process.membership;

import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.wire.generated.ServerAnnouncement;

/**
 * The state of one backend server in the registry.
 *
 * <p>Immutable.
 *
 * @param id the server
 * @param announcement its last accepted announcement
 * @param receivedNanos time at which that announcement was received
 * @param cold whether its cold limit applies
 * @param suspect whether it gets no new work because its announcements stopped or connections to it
 *     fail
 */
public record RegisteredServer(
        BackendServerId id,
        ServerAnnouncement announcement,
        long receivedNanos,
        boolean cold,
        boolean suspect) {

    /** Returns the limit of concurrent requests that applies to the server. */
    public int limit() {
        return cold ? announcement.getColdLimit() : announcement.getWarmLimit();
    }
}
