package org.jacinthwharf.process.membership;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.util.Optional;
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
            return problem("server", a.getServer());
        }
        if (!a.getFailureDomain().equals(own.value())) {
            return problem("failureDomain", a.getFailureDomain());
        }
        if (ModelId.parse(a.getModel()).isEmpty()) {
            return problem("model", a.getModel());
        }
        if (VersionId.parse(a.getVersion()).isEmpty()) {
            return problem("version", a.getVersion());
        }
        if (!isAddress(a.getAddress())) {
            return problem("address", a.getAddress());
        }
        if (a.getState() == ServerState.SERVER_STATE_UNSPECIFIED
                || a.getState() == ServerState.UNRECOGNIZED) {
            return problem("state", a.getState());
        }
        if (a.getIncarnation() < 0) {
            return problem("incarnation", a.getIncarnation());
        }
        if (a.getSequence() < 0) {
            return problem("sequence", a.getSequence());
        }
        if (a.getWarmLimit() < 1 || a.getWarmLimit() > MAX_LIMIT) {
            return problem("warmLimit", a.getWarmLimit());
        }
        if (a.getColdLimit() < 0 || a.getColdLimit() > a.getWarmLimit()) {
            return problem("coldLimit", a.getColdLimit());
        }
        return a.getRunning() < 0 ? problem("running", a.getRunning()) : Optional.empty();
    }

    private static Optional<String> problem(String field, Object value) {
        String text = String.valueOf(value);
        return Optional.of(
                "malformed "
                        + field
                        + ": '"
                        + text.substring(0, Math.min(64, text.length()))
                        + "'");
    }

    private static boolean isAddress(String address) {
        try {
            HostAndPort parsed = HostAndPort.fromString(address);
            // Only literal IP addresses: a name would need a lookup that may block or be spoofed.
            return parsed.hasPort()
                    && parsed.getPort() > 0
                    && InetAddresses.isInetAddress(parsed.getHost());
        } catch (IllegalArgumentException expected) {
            return false;
        }
    }
}
