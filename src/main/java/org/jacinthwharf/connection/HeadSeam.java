package org.jacinthwharf.connection;

import java.util.regex.Pattern;

/**
 * Finds the place where the head of an answer that stopped runs into the next one.
 *
 * <p>Stateless and thread-safe. A parser takes the two for one head: the status of the first, the
 * headers of both. A status line within a head shows it.
 */
public final class HeadSeam {
    /** Length of what {@link #isIn} looks for. */
    public static final int LENGTH = "HTTP/1.1 200".length();

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-9][0-9][0-9]");

    private HeadSeam() {}

    /** Returns whether a reason phrase, or the name or value of a header, has a status line. */
    public static boolean isIn(String text) {
        return text.contains("HTTP/1.") && STATUS_LINE.matcher(text).find();
    }
}
