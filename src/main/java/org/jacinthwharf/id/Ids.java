package org.jacinthwharf.id;

import static com.google.common.base.Preconditions.checkArgument;

/** Validation shared by the id types. Stateless and thread-safe. */
final class Ids {
    /** Long enough for UUIDs with a prefix, short enough to keep log lines readable. */
    static final int MAX_LENGTH = 128;

    private Ids() {}

    /**
     * Returns {@code value} if it is a well-formed id.
     *
     * @throws IllegalArgumentException if it is empty, longer than {@link #MAX_LENGTH} characters
     *     or contains other characters than letters, digits and {@code . _ : -}
     */
    static String checkId(String kind, String value) {
        checkArgument(isWellFormed(value), "malformed %s: '%s'", kind, value);
        return value;
    }

    /** Returns whether {@code value} may be used as an id. Costs one pass over the value. */
    static boolean isWellFormed(String value) {
        if (value.isEmpty() || value.length() > MAX_LENGTH) {
            return false;
        }
        return value.chars().allMatch(Ids::isIdCharacter);
    }

    private static boolean isIdCharacter(int c) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || (c >= '0' && c <= '9')
                || c == '.'
                || c == '_'
                || c == ':'
                || c == '-';
    }
}
