package org.jacinthwharf.process.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import org.jacinthwharf.wire.generated.Configuration;
import org.jacinthwharf.wire.generated.Model;
import org.jacinthwharf.wire.generated.RejectedVersion;

/**
 * Decides when a rejected version may be forgotten: once none of its servers has been known to run
 * for a long time.
 *
 * <p>Not thread-safe. Invariant: a version is never forgotten earlier than {@link #ABSENCE} after
 * the creation of this instance, so a new leader first learns which servers run.
 */
final class RejectedVersionExpiry {
    /** Longer than regions lose each other, and their servers seem to be gone. */
    static final Duration ABSENCE = Duration.ofMinutes(10);

    private final BiPredicate<String, String> mIsRunning;
    private final Map<RejectedVersion, Long> mAbsentSinceNanos = new HashMap<>();

    /**
     * Creates an instance that knows of no absence.
     *
     * @param isRunning whether any server of a service is known to run a version
     */
    RejectedVersionExpiry(BiPredicate<String, String> isRunning) {
        mIsRunning = isRunning;
    }

    /** Returns the versions to forget now. */
    Set<RejectedVersion> expired(Configuration configuration, long nowNanos) {
        Set<RejectedVersion> absent = new HashSet<>();
        for (Model m : configuration.getModelsList()) {
            for (String version : m.getRejectedVersionsList()) {
                if (!mIsRunning.test(m.getId(), version)) {
                    absent.add(
                            RejectedVersion.newBuilder()
                                    .setModel(m.getId())
                                    .setVersion(version)
                                    .build());
                }
            }
        }
        mAbsentSinceNanos.keySet().retainAll(absent);
        absent.forEach(v -> mAbsentSinceNanos.putIfAbsent(v, nowNanos));
        absent.removeIf(v -> nowNanos - mAbsentSinceNanos.get(v) < ABSENCE.toNanos());
        return absent;
    }
}
