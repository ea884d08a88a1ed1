package org.jacinthwharf.id;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * Identifies a failure domain: a group of VMs that may fail or be partitioned together.
 *
 * <p>Immutable. Any text is an id, so that a value that an interface accepted cannot be refused
 * later.
 *
 * @param value the id as written in settings and headers
 */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {
    /** Creates an id. */
    public FailureDomainId {
        checkNotNull(value);
    }

    /** Returns the id with the given value. */
    public static FailureDomainId of(String value) {
        return new FailureDomainId(value);
    }

    /**
     * Returns the id if it has 1 to 128 letters, digits and {@code . _ : -}, as the interfaces of
     * routers and operators require.
     */
    public static Optional<FailureDomainId> parse(String value) {
        return Ids.isWellFormed(value) ? Optional.of(new FailureDomainId(value)) : Optional.empty();
    }

    @Override
    public int compareTo(FailureDomainId other) {
        return value.compareTo(other.value);
    }

    /** Returns the id as a word of a log line. */
    @Override
    public String toString() {
        return LogText.of(value);
    }
}
