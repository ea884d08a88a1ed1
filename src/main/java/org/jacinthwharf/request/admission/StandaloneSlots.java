package org.jacinthwharf.request.admission;

import com.google.common.base.Preconditions;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.PoolId;
import org.jacinthwharf.id.RouterIncarnation;

/**
 * Provides slots without owners, while this router has no view.
 *
 * <p>Invariants: nothing starts at a server that is not warm, and this router runs at most
 * floor(warm limit / configured routers) requests at a warm one; so all routers of the failure
 * domain together stay within the warm limit. Not thread-safe.
 */
final class StandaloneSlots {
    private final int mConfiguredRouters;
    private final SlotNumberGenerator mSlotNumbers;
    private final Map<BackendServerId, ServerInfo> mServers = new TreeMap<>();

    StandaloneSlots(RouterIncarnation router, int configuredRouters) {
        Preconditions.checkArgument(
                configuredRouters > 0,
                "number of configured routers must be positive: %s",
                configuredRouters);
        mConfiguredRouters = configuredRouters;
        mSlotNumbers = new SlotNumberGenerator(router);
    }

    void onServer(ServerInfo server) {
        mServers.put(server.server(), server);
    }

    void onServerRemoved(BackendServerId server) {
        mServers.remove(server);
    }

    /**
     * Returns a slot of the pool at the server with the most free capacity.
     *
     * @param running number of requests that this router runs at a server
     */
    Optional<Slot> findSlot(PoolId pool, ToIntFunction<BackendServerId> running, long nowNanos) {
        ToIntFunction<ServerInfo> freeCapacity = s -> limit(s) - running.applyAsInt(s.server());
        return mServers.values().stream()
                .filter(s -> s.pool().equals(pool) && freeCapacity.applyAsInt(s) > 0)
                .max(Comparator.comparingInt(freeCapacity))
                .map(s -> slot(s, nowNanos));
    }

    private int limit(ServerInfo server) {
        return server.usable() && server.warm() ? server.warmLimit() / mConfiguredRouters : 0;
    }

    private Slot slot(ServerInfo server, long nowNanos) {
        return new Slot(
                server.server(),
                server.incarnation(),
                server.address(),
                server.pool(),
                mSlotNumbers.next(),
                Optional.empty(),
                false,
                nowNanos + AdmissionDurations.GRANT_VALIDITY);
    }
}
