package org.jacinthwharf.request.dispatch;

import org.jacinthwharf.wire.generated.Service;

/**
 * A service with the objectives of its routes.
 *
 * <p>Immutable.
 *
 * @param objectiveMillis the shortest response-time objective of its routes
 * @param tokensPerSecond throughput of all engines together; 0 if unknown
 */
public record ServiceObjectives(Service service, long objectiveMillis, double tokensPerSecond) {
    /** Objective of services for which no route states one. */
    static final long NO_OBJECTIVE_MILLIS = 1_000;

    private static final double BITS_PER_BYTE = 8;

    /** Bits in a millisecond at one megabit a second. */
    private static final double BITS_PER_MEGABIT_MILLI = 1e3;

    boolean isEngine() {
        return service.getEngineSlots() > 0;
    }

    /** Returns whether an engine can copy cached tokens from another one. */
    boolean hasCacheTransfers() {
        return service.getCacheTransfers() && service.getCacheLinkMegabits() > 0;
    }

    /** Returns how long an engine takes to copy a cached token; 0 if it cannot. */
    double transferMillisPerToken() {
        return hasCacheTransfers()
                ? service.getCacheTokenBytes()
                        * BITS_PER_BYTE
                        / (service.getCacheLinkMegabits() * BITS_PER_MEGABIT_MILLI)
                : 0;
    }
}
