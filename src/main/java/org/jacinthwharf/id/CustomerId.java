package org.jacinthwharf.id;

import java.util.Optional;

/**
 * Identifies a customer. Customers share the backend servers.
 *
 * <p>Immutable. The value has 1 to 128 letters, digits and {@code . _ : -}.
 *
 * @param value the id as written in settings, headers and logs
 */
public record CustomerId(String value) implements Comparable<CustomerId> {
    /**
     * Creates an id.
     *
     * @throws IllegalArgumentException if {@code value} is malformed
     */
    public CustomerId {
        Ids.checkId("customer id", value);
    }

    /**
     * Returns the id with the given value.
     *
     * @throws IllegalArgumentException if {@code value} is malformed
     */
    public static CustomerId of(String value) {
        return new CustomerId(value);
    }

    /** Returns the id, or empty if {@code value} is malformed; for untrusted input. */
    public static Optional<CustomerId> parse(String value) {
        return Ids.isWellFormed(value) ? Optional.of(new CustomerId(value)) : Optional.empty();
    }

    @Override
    public int compareTo(CustomerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
