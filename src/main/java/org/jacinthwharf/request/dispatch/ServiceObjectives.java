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

    boolean isEngine() {
        return service.getEngineSlots() > 0;
    }
}
