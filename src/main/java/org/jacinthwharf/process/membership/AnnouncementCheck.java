package org.jacinthwharf.process.membership;

import static org.jacinthwharf.process.membership.ServerRecordCheck.malformed;

import java.util.Optional;
import org.jacinthwharf.connection.ServerAddress;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.FailureDomainId;
import org.jacinthwharf.id.ModelId;
import org.jacinthwharf.id.VersionId;
import org.jacinthwharf.wire.generated.ServerAnnouncement;
import org.jacinthwharf.wire.generated.ServerState;

/** Validates announcements, which are untrusted input. Stateless and thread-safe. */
final class AnnouncementCheck {
    /** Maximum request limit of one server; a larger one is malformed. */
    static final int MAX_LIMIT = 100_000;

    private AnnouncementCheck() {}

    /** Returns the reason to refuse the announcement, or empty if it is well formed. */
    static Optional<String> problem(ServerAnnouncement a, FailureDomainId own) {
        if (BackendServerId.parse(a.getServer()).isEmpty()) {
            return malformed("server", a.getServer());
        }
        if (!a.getFailureDomain().equals(own.value())) {
            return malformed("failureDomain", a.getFailureDomain());
        }
        if (ModelId.parse(a.getModel()).isEmpty()) {
            return malformed("model", a.getModel());
        }
        if (VersionId.parse(a.getVersion()).isEmpty()) {
            return malformed("version", a.getVersion());
        }
        if (ServerAddress.parse(a.getAddress()).isEmpty()) {
            return malformed("address", a.getAddress());
        }
        if (a.getState() == ServerState.SERVER_STATE_UNSPECIFIED
                || a.getState() == ServerState.UNRECOGNIZED) {
            return malformed("state", a.getState());
        }
        if (a.getIncarnation() < 0) {
            return malformed("incarnation", a.getIncarnation());
        }
        if (a.getSequence() < 0) {
            return malformed("sequence", a.getSequence());
        }
        if (a.getWarmLimit() < 1 || a.getWarmLimit() > MAX_LIMIT) {
            return malformed("warmLimit", a.getWarmLimit());
        }
        if (a.getColdLimit() < 0 || a.getColdLimit() > a.getWarmLimit()) {
            return malformed("coldLimit", a.getColdLimit());
        }
        return a.getRunning() < 0 ? malformed("running", a.getRunning()) : Optional.empty();
    }
}
