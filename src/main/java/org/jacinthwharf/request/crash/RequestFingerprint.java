package org.jacinthwharf.request.crash;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Computes fingerprints of requests: repeats of a request, whose ids and other headers differ, have
 * the same one. Stateless and thread-safe.
 */
public final class RequestFingerprint {
    /** Makes collisions infeasible, by chance or by a caller that looks for one. */
    private static final int FINGERPRINT_BYTES = 16;

    private RequestFingerprint() {}

    /**
     * Returns the subject of all requests with the given content. Takes time linear in the size of
     * the body.
     *
     * @param customer customer that the request is charged to
     * @param host host that the request names
     * @param target path and query
     * @param body the pieces of the body; how it is cut makes no difference
     */
    public static CrashSubject of(
            String customer, String method, String host, String target, ByteBuffer[] body) {
        Hasher hasher = Hashing.sha256().newHasher();
        for (String part : new String[] {customer, method, host, target}) {
            hasher.putInt(part.length()).putString(part, StandardCharsets.UTF_8);
        }
        for (ByteBuffer piece : body) {
            hasher.putBytes(piece.duplicate());
        }
        byte[] hash = hasher.hash().asBytes();
        return CrashSubject.request(
                BaseEncoding.base16().lowerCase().encode(Arrays.copyOf(hash, FINGERPRINT_BYTES)));
    }
}
