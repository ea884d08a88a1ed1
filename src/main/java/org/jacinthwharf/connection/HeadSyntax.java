package org.jacinthwharf.connection;

import com.google.common.base.Ascii;
import com.google.common.base.CharMatcher;
import com.google.common.base.Splitter;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.jacinthwharf.id.LogText;

/**
 * What the head of an answer may be (RFC 9112, sections 4 to 6).
 *
 * <p>Stateless and thread-safe. The decoder that it is used with accepts more: any number as a
 * status, and names that end at white space. What it decodes no longer shows the difference.
 */
public final class HeadSyntax {
    private static final Splitter LINES = Splitter.on('\n');

    /** Status codes outside 100 to 599 are invalid (RFC 9110, section 15). */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?: [\\t\\x20-\\x7e\\x80-\\xff]*+)?");

    /** Characters of a token (RFC 9110, section 5.6.2). */
    private static final CharMatcher TOKEN =
            CharMatcher.inRange('a', 'z')
                    .or(CharMatcher.inRange('A', 'Z'))
                    .or(CharMatcher.inRange('0', '9'))
                    .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"))
                    .precomputed();

    /** Characters of a field's value, white space included (RFC 9110, section 5.5). */
    private static final CharMatcher VALUE =
            CharMatcher.inRange(' ', '~')
                    .or(CharMatcher.is('\t'))
                    .or(CharMatcher.inRange('\u0080', '\u00ff'))
                    .precomputed();

    private HeadSyntax() {}

    /**
     * Returns what is wrong with a head, if anything.
     *
     * @param head all bytes of the head, each as a character; empty lines may precede it
     */
    static Optional<String> findDefect(String head) {
        Iterator<String> lines = LINES.split(head).iterator();
        String statusLine = withoutCarriageReturn(lines.next());
        while (statusLine.isEmpty() && lines.hasNext()) {
            statusLine = withoutCarriageReturn(lines.next());
        }
        if (!STATUS_LINE.matcher(statusLine).matches()) {
            return Optional.of("malformed status line " + LogText.of(statusLine));
        }
        while (lines.hasNext()) {
            String line = withoutCarriageReturn(lines.next());
            if (line.isEmpty()) {
                break;
            }
            if (!isFieldLine(line)) {
                return Optional.of("malformed field line " + LogText.of(line));
            }
        }
        return Optional.empty();
    }

    /**
     * White space before the colon, and lines that continue the one before, are refused where a
     * proxy may also mend them: the lenient decoder would take part of a name for another one.
     */
    private static boolean isFieldLine(String line) {
        int colon = line.indexOf(':');
        return colon > 0
                && TOKEN.matchesAllOf(line.substring(0, colon))
                && VALUE.matchesAllOf(line.substring(colon + 1));
    }

    /**
     * Returns whether a body in these transfer codings can be decoded. A coding is of one
     * connection only, so a body in any other one cannot be passed on.
     *
     * @param fieldValues values of all {@code Transfer-Encoding} fields of an answer
     */
    public static boolean isDecodable(List<String> fieldValues) {
        return fieldValues.isEmpty()
                || (fieldValues.size() == 1
                        && Ascii.equalsIgnoreCase(fieldValues.get(0).trim(), "chunked"));
    }

    private static String withoutCarriageReturn(String line) {
        return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
    }
}
