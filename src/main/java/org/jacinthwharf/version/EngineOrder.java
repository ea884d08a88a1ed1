package org.jacinthwharf.version;

import org.jacinthwharf.id.BackendServerId;

/**
 * An order to an engine to reach a target state; repeating it does no harm.
 *
 * <p>Immutable.
 *
 * @param server the engine
 * @param token fencing token, as the engine's fence
 * @param target the state to reach, for example {@code version=v2} or {@code role=decode}
 * @param loadsWeights whether the order makes the engine read from the weight store
 */
public record EngineOrder(
        BackendServerId server, FencingToken token, String target, boolean loadsWeights) {}
