package org.jacinthwharf.id;

import java.util.Optional;

/**
 * Identifies a VM that runs processes of the fleet.
 *
 * <p>Immutable. The value has 1 to 128 letters, digits and {@code . _ : -}.
 *
 * @param value the id as written in settings, headers and logs
 */
public record VmId(String value) implements Comparable<VmId> {
    /**
     * Creates an id.
     *
     * @throws IllegalArgumentException if {@code value} is malformed
     */
    public VmId {
        Ids.checkId("VM id", value);
    }

    /**
     * Returns the id with the given value.
     *
     * @throws IllegalArgumentException if {@code value} is malformed
     */
    public static VmId of(String value) {
        return new VmId(value);
    }

    /** Returns the id, or empty if {@code value} is malformed; for untrusted input. */
    public static Optional<VmId> parse(String value) {
        return Ids.isWellFormed(value) ? Optional.of(new VmId(value)) : Optional.empty();
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
