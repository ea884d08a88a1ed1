package org.jacinthwharf.request.dispatch;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Rendezvous hashing (highest random weight): every process ranks the nodes for a key in the same
 * order.
 *
 * <p>Stateless and thread-safe. Invariant: adding or removing a node does not change the order of
 * the others.
 */
final class Rendezvous {
    private Rendezvous() {}

    /** Returns the hash of a key or of a node. */
    static long hash(String text) {
        return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }

    /** Returns the weight of a node for a key; both are given as hashes. */
    static long weight(long key, long node) {
        // The finalizer of MurmurHash3, which spreads every bit of its input.
        long z = key * 31 + node;
        z = (z ^ (z >>> 33)) * 0xff51afd7ed558ccdL;
        z = (z ^ (z >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return z ^ (z >>> 33);
    }
}
