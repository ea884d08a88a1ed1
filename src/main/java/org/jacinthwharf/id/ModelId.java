package org.jacinthwharf.id;

import java.util.Optional;

/**
 * Identifies a model, or a plain service that is routed like one.
 *
 * <p>Immutable. The value has 1 to 128 letters, digits and {@code . _ : -}.
 *
 * @param value the id as written in settings, headers and logs
 */
public record ModelId(String value) implements Comparable<ModelId> {
    /**
     * Creates an id.
     *
     * @throws IllegalArgumentException if {@code value} is malformed
     */
    public ModelId {
        Ids.checkId("model id", value);
    }

    /**
     * Returns the id with the given value.
     *
     * @throws IllegalArgumentException if {@code value} is malformed
     */
    public static ModelId of(String value) {
        return new ModelId(value);
    }

    /** Returns the id, or empty if {@code value} is malformed; for untrusted input. */
    public static Optional<ModelId> parse(String value) {
        return Ids.isWellFormed(value) ? Optional.of(new ModelId(value)) : Optional.empty();
    }

    @Override
    public int compareTo(ModelId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
