package org.jacinthwharf.id;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * Identifies one request across all its attempts.
 *
 * <p>Immutable. Any text is an id, so that a value that an interface accepted cannot be refused
 * later.
 *
 * @param value the id as written in settings and headers
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /** Creates an id. */
    public RequestId {
        checkNotNull(value);
    }

    /** Returns the id with the given value. */
    public static RequestId of(String value) {
        return new RequestId(value);
    }

    /**
     * Returns the id if it has 1 to 128 letters, digits and {@code . _ : -}, as the interfaces of
     * routers and operators require.
     */
    public static Optional<RequestId> parse(String value) {
        return Ids.isWellFormed(value) ? Optional.of(new RequestId(value)) : Optional.empty();
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    /** Returns the id as a word of a log line. */
    @Override
    public String toString() {
        return LogText.of(value);
    }
}
