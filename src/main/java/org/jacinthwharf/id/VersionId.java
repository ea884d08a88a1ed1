package org.jacinthwharf.id;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * Identifies a version of a model.
 *
 * <p>Immutable. Any text is an id, so that a value that an interface accepted cannot be refused
 * later.
 *
 * @param value the id as written in settings and headers
 */
public record VersionId(String value) implements Comparable<VersionId> {
    /** Creates an id. */
    public VersionId {
        checkNotNull(value);
    }

    /** Returns the id with the given value. */
    public static VersionId of(String value) {
        return new VersionId(value);
    }

    /**
     * Returns the id if it has 1 to 128 letters, digits and {@code . _ : -}, as the interfaces of
     * routers and operators require.
     */
    public static Optional<VersionId> parse(String value) {
        return Ids.isWellFormed(value) ? Optional.of(new VersionId(value)) : Optional.empty();
    }

    @Override
    public int compareTo(VersionId other) {
        return value.compareTo(other.value);
    }

    /** Returns the id as a word of a log line. */
    @Override
    public String toString() {
        return LogText.of(value);
    }
}
