package org.jacinthwharf.id;

import java.util.Optional;

/**
 * Identifies a version of a model.
 *
 * <p>Immutable. The value has 1 to 128 letters, digits and {@code . _ : -}.
 *
 * @param value the id as written in settings, headers and logs
 */
public record VersionId(String value) implements Comparable<VersionId> {
    /**
     * Creates an id.
     *
     * @throws IllegalArgumentException if {@code value} is malformed
     */
    public VersionId {
        Ids.checkId("version id", value);
    }

    /**
     * Returns the id with the given value.
     *
     * @throws IllegalArgumentException if {@code value} is malformed
     */
    public static VersionId of(String value) {
        return new VersionId(value);
    }

    /** Returns the id, or empty if {@code value} is malformed; for untrusted input. */
    public static Optional<VersionId> parse(String value) {
        return Ids.isWellFormed(value) ? Optional.of(new VersionId(value)) : Optional.empty();
    }

    @Override
    public int compareTo(VersionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
