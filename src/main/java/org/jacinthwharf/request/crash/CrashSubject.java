package org.jacinthwharf.request.crash;

import com.google.common.base.Preconditions;

/**
 * What may crash backend servers: a prompt segment, in whatever prompt it occurs, or one request
 * with all that it holds.
 *
 * <p>Immutable.
 *
 * @param id id of the segment, which holds no colon, or fingerprint of the request
 */
public record CrashSubject(Kind kind, String id) {
    private static final String REQUEST_PREFIX = "request:";

    /** The kinds of subjects. */
    public enum Kind {
        SEGMENT,
        REQUEST
    }

    /** Checks that a segment's id cannot be taken for a request. */
    public CrashSubject {
        Preconditions.checkArgument(
                kind == Kind.REQUEST || id.indexOf(':') < 0, "segment id with a colon: %s", id);
    }

    /** Returns the subject of a prompt segment. */
    public static CrashSubject segment(String id) {
        return new CrashSubject(Kind.SEGMENT, id);
    }

    /** Returns the subject of all requests with the given fingerprint. */
    public static CrashSubject request(String fingerprint) {
        return new CrashSubject(Kind.REQUEST, fingerprint);
    }

    /** Parses the result of {@link #toString}. */
    static CrashSubject parse(String text) {
        return text.startsWith(REQUEST_PREFIX)
                ? request(text.substring(REQUEST_PREFIX.length()))
                : segment(text);
    }

    boolean isRequest() {
        return kind == Kind.REQUEST;
    }

    /** Returns the text that stands for the subject in messages and logs. */
    @Override
    public String toString() {
        return isRequest() ? REQUEST_PREFIX + id : id;
    }
}
