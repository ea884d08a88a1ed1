package org.jacinthwharf.process.membership;

import com.google.common.base.CharMatcher;
import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import org.jacinthwharf.connection.ServerAddress;
import org.jacinthwharf.request.dispatch.RoutingTableCheck;
import org.jacinthwharf.wire.generated.DirectoryUpdate;
import org.jacinthwharf.wire.generated.ServerRecord;
import org.jacinthwharf.wire.generated.ServerStatus;

/**
 * Validates records of backend servers, which may come from another writer.
 *
 * <p>Stateless and thread-safe. A valid record can be routed to and its id sent in headers, and
 * sums of its times do not overflow. Its service and version are any text, as in a configuration.
 */
public final class ServerRecordCheck {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Ids are sent in a header of each request; failure domains are named in settings. */
    private static final int MAX_ID_LENGTH = 256;

    private static final int MAX_SLOTS = 100_000;
    private static final int SHOWN_LENGTH = 64;

    /** A day; a server that is cold for longer is not starting. */
    private static final long MAX_RELATIVE_MILLIS = 86_400_000L;

    /** The year 5138; a larger time would hide all later starts of the same id. */
    private static final long MAX_BORN_MILLIS = 100_000_000_000_000L;

    /** A thousand a second for 30 years; a larger one would hide all later records of an id. */
    private static final long MAX_SEQUENCE = 1_000_000_000_000L;

    /** Ids are sent in headers. */
    private static final CharMatcher ID_CHARACTERS = CharMatcher.inRange('!', '~');

    private ServerRecordCheck() {}

    /** Returns the reason to ignore the record, or empty if it is valid. */
    public static Optional<String> problem(ServerRecord r) {
        if (r.getServer().isEmpty()
                || r.getServer().length() > MAX_ID_LENGTH
                || !ID_CHARACTERS.matchesAllOf(r.getServer())) {
            return malformed("server", r.getServer());
        }
        if (!RoutingTableCheck.isServiceName(r.getService())) {
            return malformed("service", r.getService());
        }
        if (r.getFailureDomain().length() > MAX_ID_LENGTH
                || CharMatcher.javaIsoControl().matchesAnyOf(r.getFailureDomain())) {
            return malformed("failure domain", r.getFailureDomain());
        }
        if (r.getVersion().length() > RoutingTableCheck.MAX_NAME_LENGTH) {
            return malformed("version", r.getVersion());
        }
        if (ServerAddress.parse(r.getAddress()).isEmpty()) {
            return malformed("address", r.getAddress());
        }
        if (r.getStatus() == ServerStatus.UNRECOGNIZED) {
            return malformed("status", r.getStatus());
        }
        if (r.getSlots() < 1 || r.getSlots() > MAX_SLOTS) {
            return malformed("slots", r.getSlots());
        }
        if (!isWithin(r.getBornMillis(), MAX_BORN_MILLIS)) {
            return malformed("start", r.getBornMillis());
        }
        if (!isWithin(r.getSequence(), MAX_SEQUENCE)) {
            return malformed("sequence", r.getSequence());
        }
        if (!isWithin(r.getColdLeftMillis(), MAX_RELATIVE_MILLIS)) {
            return malformed("cold start", r.getColdLeftMillis());
        }
        return isWithin(r.getAgeMillis(), MAX_RELATIVE_MILLIS)
                ? Optional.empty()
                : malformed("age", r.getAgeMillis());
    }

    /** Returns the valid records of an update; logs and leaves out the others. */
    public static ImmutableList<ServerRecord> validRecords(DirectoryUpdate update) {
        ImmutableList.Builder<ServerRecord> valid = ImmutableList.builder();
        for (ServerRecord r : update.getRecordsList()) {
            Optional<String> problem = problem(r);
            if (problem.isEmpty()) {
                valid.add(r);
            } else {
                LOGGER.atWarning().log("event=server_record_ignored reason='%s'", problem.get());
            }
        }
        return valid.build();
    }

    /** Describes a malformed field, whose value may be of any length. */
    static Optional<String> malformed(String field, Object value) {
        String text = CharMatcher.javaIsoControl().replaceFrom(String.valueOf(value), '?');
        String shown = text.substring(0, Math.min(SHOWN_LENGTH, text.length()));
        return Optional.of("malformed " + field + ": '" + shown + "'");
    }

    private static boolean isWithin(long value, long max) {
        return value >= 0 && value <= max;
    }
}
