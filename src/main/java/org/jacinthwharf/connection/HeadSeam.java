package org.jacinthwharf.connection;

import java.util.regex.Pattern;

/**
 * Finds the place where an answer that stopped runs into the next one.
 *
 * <p>Stateless and thread-safe. If the first one stops within its head, a parser takes the two for
 * one head: the status of the first, the headers of both. If it stops within its body, the next one
 * is taken for the rest. A status line within a head or a body shows it.
 */
public final class HeadSeam {
    /** Length of what {@link #isIn} looks for. */
    public static final int LENGTH = "HTTP/1.1 200".length();

    private static final String START = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-9][0-9][0-9]");

    private HeadSeam() {}

    /** Returns whether a reason phrase, or a part of a body, has a status line. */
    public static boolean isIn(String text) {
        return text.contains(START) && STATUS_LINE.matcher(text).find();
    }

    /** Returns whether a header has a status line, which a parser may split at its space. */
    public static boolean isIn(String name, String value) {
        return (name.contains(START) || value.contains(START)) && isIn(name + " " + value);
    }
}
