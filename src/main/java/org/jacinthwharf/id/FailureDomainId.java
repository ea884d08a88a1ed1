package org.jacinthwharf.id;

import java.util.Optional;

/**
 * Identifies a failure domain: a group of VMs that may fail or be partitioned together.
 *
 * <p>Immutable. The value has 1 to 128 letters, digits and {@code . _ : -}.
 *
 * @param value the id as written in settings, headers and logs
 */
public record FailureDomainId(String value) implements Comparable<FailureDomainId> {
    /**
     * Creates an id.
     *
     * @throws IllegalArgumentException if {@code value} is malformed
     */
    public FailureDomainId {
        Ids.checkId("failure domain id", value);
    }

    /**
     * Returns the id with the given value.
     *
     * @throws IllegalArgumentException if {@code value} is malformed
     */
    public static FailureDomainId of(String value) {
        return new FailureDomainId(value);
    }

    /** Returns the id, or empty if {@code value} is malformed; for untrusted input. */
    public static Optional<FailureDomainId> parse(String value) {
        return Ids.isWellFormed(value) ? Optional.of(new FailureDomainId(value)) : Optional.empty();
    }

    @Override
    public int compareTo(FailureDomainId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
