package org.jacinthwharf.version;

import org.jacinthwharf.id.BackendServerId;

/**
 * An idempotent order to an engine to reach a target state.
 *
 * <p>Immutable.
 *
 * @param server the engine
 * @param token fencing token by which the engine rejects stale orders
 * @param target the state to reach, for example {@code version=v2} or {@code role=decode}
 * @param loadsWeights whether the engine loads weights from the weight store for the order
 */
public record EngineOrder(
        BackendServerId server, FencingToken token, String target, boolean loadsWeights) {}
