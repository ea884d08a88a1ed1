package org.jacinthwharf.process.gateway;

import java.util.Arrays;
import org.jacinthwharf.id.RequestId;

/**
 * The ids of the requests that a connection has carried.
 *
 * <p>Not thread-safe. Keeps 32 bits of each id, so {@link #contains} may be true for an id that was
 * not added, never false for one that was. Memory is bounded by {@link #MAX_IDS}, whatever the
 * length of the ids.
 */
final class CarriedIds {
    /** Bounds the memory of a connection to 2 KB. */
    static final int MAX_IDS = 512;

    private static final int INITIAL_CAPACITY = 8;

    private int[] mHashes = new int[INITIAL_CAPACITY];
    private int mCount;

    /** Adds an id; there must be room for it. */
    void add(RequestId id) {
        if (isFull()) {
            throw new IllegalStateException("more than " + MAX_IDS + " ids on a connection");
        }
        if (mCount == mHashes.length) {
            mHashes = Arrays.copyOf(mHashes, 2 * mCount);
        }
        mHashes[mCount++] = id.value().hashCode();
    }

    /** Returns whether an id was added; cost is linear in the number of ids. */
    boolean contains(RequestId id) {
        int hash = id.value().hashCode();
        for (int i = 0; i < mCount; i++) {
            if (mHashes[i] == hash) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether no further id can be added. */
    boolean isFull() {
        return mCount == MAX_IDS;
    }
}
