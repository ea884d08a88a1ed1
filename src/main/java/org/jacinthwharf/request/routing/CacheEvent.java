package org.jacinthwharf.request.routing;

import org.jacinthwharf.id.BackendServerId;

/**
 * An engine's report that a prefix was cached or evicted. Immutable.
 *
 * @param server the engine
 * @param incarnation the engine's incarnation; a new one starts with an empty cache
 * @param sequence number of the event, incremented by one within an incarnation
 * @param prefix the prefix
 * @param cached true if the prefix was cached, false if it was evicted
 */
public record CacheEvent(
        BackendServerId server,
        long incarnation,
        long sequence,
        PrefixKey prefix,
        boolean cached) {}
