package org.jacinthwharf.request.crash;

import java.util.stream.Stream;

/**
 * What may crash backend servers: a prompt segment, in whatever prompt it occurs, before or after
 * the answer has begun, or one request with all that it holds.
 *
 * <p>A segment is two subjects, since evidence of one says nothing of the other: a server that
 * begins an answer may still crash on the rest of it.
 *
 * <p>Immutable.
 *
 * @param id id of the segment, which holds no colon, or fingerprint of the request
 */
public record CrashSubject(Kind kind, String id) {
    private static final String REQUEST_PREFIX = "request:";
    private static final String BEGUN_PREFIX = "begun:";

    /** Only for segments whose id could be taken for a prefix. */
    private static final String SEGMENT_PREFIX = "segment:";

    /** The kinds of subjects. */
    public enum Kind {
        /** A segment that crashes servers before they begin the answer. */
        SEGMENT,
        /** A segment that crashes servers within the answer. */
        BEGUN_SEGMENT,
        REQUEST
    }

    /** Returns the subject of a prompt segment before its answer begins. */
    public static CrashSubject segment(String id) {
        return new CrashSubject(Kind.SEGMENT, id);
    }

    /** Returns the subject of a prompt segment whose answer has begun. */
    public static CrashSubject begunSegment(String id) {
        return new CrashSubject(Kind.BEGUN_SEGMENT, id);
    }

    /** Returns the subject of all requests with the given fingerprint. */
    public static CrashSubject request(String fingerprint) {
        return new CrashSubject(Kind.REQUEST, fingerprint);
    }

    /** Parses the result of {@link #toString}. */
    static CrashSubject parse(String text) {
        if (text.startsWith(REQUEST_PREFIX)) {
            return request(text.substring(REQUEST_PREFIX.length()));
        }
        if (text.startsWith(BEGUN_PREFIX)) {
            return begunSegment(text.substring(BEGUN_PREFIX.length()));
        }
        return segment(
                text.startsWith(SEGMENT_PREFIX) ? text.substring(SEGMENT_PREFIX.length()) : text);
    }

    boolean isRequest() {
        return kind == Kind.REQUEST;
    }

    /** Returns a text that the subjects of one segment share. */
    public String sharedName() {
        return kind == Kind.BEGUN_SEGMENT ? segment(id).toString() : toString();
    }

    /** Returns the text that stands for the subject in messages and logs. */
    @Override
    public String toString() {
        return switch (kind) {
            case REQUEST -> REQUEST_PREFIX + id;
            case BEGUN_SEGMENT -> BEGUN_PREFIX + id;
            case SEGMENT -> isAmbiguous() ? SEGMENT_PREFIX + id : id;
        };
    }

    private boolean isAmbiguous() {
        return Stream.of(REQUEST_PREFIX, BEGUN_PREFIX, SEGMENT_PREFIX).anyMatch(id::startsWith);
    }
}
