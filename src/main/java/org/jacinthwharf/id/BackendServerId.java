package org.jacinthwharf.id;

import java.util.Optional;

/**
 * Identifies a backend server across all its incarnations.
 *
 * <p>Immutable. The value has 1 to 128 letters, digits and {@code . _ : -}.
 *
 * @param value the id as written in settings, headers and logs
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {
    /**
     * Creates an id.
     *
     * @throws IllegalArgumentException if {@code value} is malformed
     */
    public BackendServerId {
        Ids.checkId("backend server id", value);
    }

    /**
     * Returns the id with the given value.
     *
     * @throws IllegalArgumentException if {@code value} is malformed
     */
    public static BackendServerId of(String value) {
        return new BackendServerId(value);
    }

    /** Returns the id, or empty if {@code value} is malformed; for untrusted input. */
    public static Optional<BackendServerId> parse(String value) {
        return Ids.isWellFormed(value) ? Optional.of(new BackendServerId(value)) : Optional.empty();
    }

    @Override
    public int compareTo(BackendServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
