package org.jacinthwharf.id;

import java.util.Optional;

/**
 * Identifies a non-idempotent call; chosen by the caller and unique for its customer.
 *
 * <p>Immutable. The value has 1 to 128 letters, digits and {@code . _ : -}.
 *
 * @param value the id as written in settings, headers and logs
 */
public record RequestKey(String value) implements Comparable<RequestKey> {
    /**
     * Creates an id.
     *
     * @throws IllegalArgumentException if {@code value} is malformed
     */
    public RequestKey {
        Ids.checkId("request key", value);
    }

    /**
     * Returns the id with the given value.
     *
     * @throws IllegalArgumentException if {@code value} is malformed
     */
    public static RequestKey of(String value) {
        return new RequestKey(value);
    }

    /** Returns the id, or empty if {@code value} is malformed; for untrusted input. */
    public static Optional<RequestKey> parse(String value) {
        return Ids.isWellFormed(value) ? Optional.of(new RequestKey(value)) : Optional.empty();
    }

    @Override
    public int compareTo(RequestKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
