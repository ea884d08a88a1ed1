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
 * Admits work without a view, when no owner can be known.
 *
 * <p>Invariants: nothing starts at a server that is not warm, and this router runs at most
 * floor(warm limit / configured routers) requests at a warm one; so all routers of the failure
 * domain together stay within the warm limit. Not thread-safe.
 */
final class StandaloneSlots {
    private final int mConfiguredRouters;
    private final SlotNumbers mNumbers;
    private final Map<BackendServerId, KnownServer> mServers = new TreeMap<>();

    StandaloneSlots(RouterIncarnation router, int configuredRouters) {
        Preconditions.checkArgument(configuredRouters > 0, "routers: %s", configuredRouters);
        mConfiguredRouters = configuredRouters;
        mNumbers = new SlotNumbers(router);
    }

    void onServer(KnownServer server) {
        mServers.put(server.server(), server);
    }

    void onServerRemoved(BackendServerId server) {
        mServers.remove(server);
    }

    /**
     * Returns a slot of the pool at the server with the most room.
     *
     * @param running number of requests that this router runs at a server
     */
    Optional<Slot> find(PoolId pool, ToIntFunction<BackendServerId> running, long nowNanos) {
        ToIntFunction<KnownServer> room = s -> limit(s) - running.applyAsInt(s.server());
        return mServers.values().stream()
                .filter(s -> s.pool().equals(pool) && room.applyAsInt(s) > 0)
                .max(Comparator.comparingInt(room))
                .map(s -> slot(s, nowNanos));
    }

    private int limit(KnownServer server) {
        return server.usable() && server.warm() ? server.warmLimit() / mConfiguredRouters : 0;
    }

    private Slot slot(KnownServer server, long nowNanos) {
        return new Slot(
                server.server(),
                server.incarnation(),
                server.address(),
                server.pool(),
                mNumbers.next(),
                Optional.empty(),
                false,
                nowNanos + AdmissionTimes.GRANT_USE_LIMIT);
    }
}
