package org.jacinthwharf.id;

import java.util.Optional;

/**
 * Identifies one request across all its attempts.
 *
 * <p>Immutable. The value has 1 to 128 letters, digits and {@code . _ : -}.
 *
 * @param value the id as written in settings, headers and logs
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /**
     * Creates an id.
     *
     * @throws IllegalArgumentException if {@code value} is malformed
     */
    public RequestId {
        Ids.checkId("request id", value);
    }

    /**
     * Returns the id with the given value.
     *
     * @throws IllegalArgumentException if {@code value} is malformed
     */
    public static RequestId of(String value) {
        return new RequestId(value);
    }

    /** Returns the id, or empty if {@code value} is malformed; for untrusted input. */
    public static Optional<RequestId> parse(String value) {
        return Ids.isWellFormed(value) ? Optional.of(new RequestId(value)) : Optional.empty();
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
