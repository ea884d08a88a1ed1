package org.jacinthwharf.request.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.jacinthwharf.id.BackendServerId;

/**
 * Identifies the prefix of a prompt.
 *
 * <p>Immutable. Prompts with the same first {@link #PREFIX_LENGTH} characters have the same key, on
 * every router and after every restart. Written as 16 hexadecimal digits. A hash collision only
 * costs cache hits.
 *
 * @param hash 64 bits of the prefix's hash
 */
public record PrefixKey(long hash) {
    /** Number of leading characters of a prompt that determine its key. */
    public static final int PREFIX_LENGTH = 256;

    private static final HashFunction HASH = Hashing.murmur3_128();
    private static final int HEX_LENGTH = 2 * Long.BYTES;

    /** Returns the key of {@code prompt}. */
    public static PrefixKey of(String prompt) {
        String prefix = prompt.substring(0, Math.min(PREFIX_LENGTH, prompt.length()));
        return new PrefixKey(HASH.hashString(prefix, StandardCharsets.UTF_8).asLong());
    }

    /** Parses untrusted input; returns empty if {@code value} is malformed. */
    public static Optional<PrefixKey> parse(String value) {
        BaseEncoding hex = BaseEncoding.base16().lowerCase();
        if (value.length() != HEX_LENGTH || !hex.canDecode(value)) {
            return Optional.empty();
        }
        return Optional.of(new PrefixKey(ByteBuffer.wrap(hex.decode(value)).getLong()));
    }

    /** Returns the rendezvous weight of {@code server}; the highest weight wins. */
    long weight(BackendServerId server) {
        return HASH.newHasher()
                .putLong(hash)
                .putString(server.value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    /** Returns the form that {@link #parse} accepts. */
    @Override
    public String toString() {
        return String.format("%016x", hash);
    }
}
