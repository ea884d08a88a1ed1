package org.jacinthwharf.request.admission;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.jacinthwharf.id.RouterIncarnation;

/**
 * Generates slot numbers that are distinct across owners and their incarnations, since slots
 * granted by earlier owners are reported to later ones.
 *
 * <p>The upper half is a hash of the router incarnation; two incarnations collide with probability
 * 2^-32. Not thread-safe.
 */
final class SlotNumberGenerator {
    private long mNext;

    SlotNumberGenerator(RouterIncarnation router) {
        int hash =
                Hashing.murmur3_128().hashString(router.toString(), StandardCharsets.UTF_8).asInt();
        mNext = (long) hash << Integer.SIZE;
    }

    long next() {
        return mNext++;
    }
}
