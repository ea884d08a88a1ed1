package org.jacinthwharf.request.routing;

import org.jacinthwharf.id.BackendServerId;

/**
 * What an engine says about a prefix in its cache. Immutable.
 *
 * @param server the engine
 * @param incarnation the engine's incarnation; a new one starts with an empty cache
 * @param sequence number of the event, growing by one within an incarnation
 * @param prefix the prefix
 * @param cached true if the prefix is now in the cache, false if it was evicted
 */
public record CacheEvent(
        BackendServerId server,
        long incarnation,
        long sequence,
        PrefixKey prefix,
        boolean cached) {}
