package org.jacinthwharf.id;

import com.google.common.base.CharMatcher;
import java.util.Locale;

/**
 * Writes text from outside as one value of a log line of {@code key=value} pairs.
 *
 * <p>Stateless and thread-safe. Costs one pass over the text.
 */
public final class LogText {
    /** Longer texts are cut, since a caller may send as much as its header limit allows. */
    private static final int MAX_LENGTH = 256;

    private static final CharMatcher PLAIN =
            CharMatcher.inRange('!', '~').and(CharMatcher.noneOf("'\"\\"));

    private LogText() {}

    /**
     * Returns the text as it is if it is one printable ASCII word; otherwise in double quotes, with
     * escapes for all that could end the value or the line, and cut after {@value #MAX_LENGTH}
     * characters.
     */
    public static String of(String text) {
        if (!text.isEmpty() && text.length() <= MAX_LENGTH && PLAIN.matchesAllOf(text)) {
            return text;
        }
        StringBuilder quoted = new StringBuilder("\"");
        for (int i = 0; i < Math.min(text.length(), MAX_LENGTH); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                quoted.append('\\').append(c);
            } else if (c < ' ' || c > '~') {
                quoted.append(String.format(Locale.ROOT, "\\u%04x", (int) c));
            } else {
                quoted.append(c);
            }
        }
        return quoted.append(text.length() > MAX_LENGTH ? "...\"" : "\"").toString();
    }
}
