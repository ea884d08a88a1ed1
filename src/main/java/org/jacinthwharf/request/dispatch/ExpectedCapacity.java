package org.jacinthwharf.request.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import org.jacinthwharf.wire.generated.ExpectedServer;
import org.jacinthwharf.wire.generated.ExpectedServers;

/**
 * The backend servers that were ordered and are not announced yet.
 *
 * <p>Not thread-safe; has no clock of its own. Invariant: what was said is forgotten after {@link
 * #VALID_NANOS}, since it is repeated each second while it is true.
 */
final class ExpectedCapacity {
    private static final long VALID_NANOS = 3_000_000_000L;
    private static final long MILLI_NANOS = 1_000_000L;

    private final Map<String, List<Expected>> mByService = new HashMap<>();
    private long mReceivedNanos;

    private record Expected(int servers, long readyNanos) {}

    /** Replaces all servers that are expected. */
    void update(ExpectedServers expected, long nowNanos) {
        mByService.clear();
        mReceivedNanos = nowNanos;
        for (ExpectedServer s : expected.getServersList()) {
            mByService
                    .computeIfAbsent(s.getService(), name -> new ArrayList<>())
                    .add(
                            new Expected(
                                    s.getServers(), nowNanos + s.getReadyInMillis() * MILLI_NANOS));
        }
    }

    /**
     * Returns a predicted wait, shortened by the servers that are ready before it ends. A queue
     * that the present servers end in some time is ended sooner in proportion to all servers.
     *
     * @param present counts the servers that serve now; asked only if others are expected
     */
    long shortened(String service, long waitNanos, IntSupplier present, long nowNanos) {
        List<Expected> expected = mByService.getOrDefault(service, List.of());
        if (expected.isEmpty() || nowNanos - mReceivedNanos > VALID_NANOS) {
            return waitNanos;
        }
        int servers = present.getAsInt();
        long shortest = waitNanos;
        for (Expected e : expected) {
            long ready = Math.max(0, e.readyNanos() - nowNanos);
            if (ready < waitNanos) {
                double part = (double) servers / (servers + e.servers());
                shortest = Math.min(shortest, ready + (long) (part * (waitNanos - ready)));
            }
        }
        return shortest;
    }
}
