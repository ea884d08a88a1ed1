package org.jacinthwharf.request.dispatch;

import org.jacinthwharf.wire.generated.Service;

/**
 * A service with what its routes ask of it.
 *
 * <p>Immutable.
 *
 * @param service the service
 * @param objectiveMillis the shortest response-time objective of its routes
 * @param tokensPerSecond tokens a second that all engines produce together; 0 if unknown
 */
public record ServiceObjectives(Service service, long objectiveMillis, double tokensPerSecond) {
    /** Stands for the objective where no route states one. */
    static final long NO_OBJECTIVE_MILLIS = 1_000;

    boolean isEngine() {
        return service.getEngineSlots() > 0;
    }
}
