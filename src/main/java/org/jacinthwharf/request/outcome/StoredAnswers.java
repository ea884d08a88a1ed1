package org.jacinthwharf.request.outcome;

import com.google.protobuf.ByteString;
import org.jacinthwharf.wire.generated.StoredAnswer;

/**
 * Limits the size of the answers that are stored with claims. Stateless and thread-safe.
 *
 * <p>Invariant: a stored body has at most {@link #MAX_BODY_BYTES} bytes.
 */
public final class StoredAnswers {
    /** Largest body that is replicated through the consensus log with its claim. */
    public static final int MAX_BODY_BYTES = 32 * 1024;

    /** Longer values are not valid media types and would bypass the bound on bodies. */
    private static final int MAX_CONTENT_TYPE_LENGTH = 256;

    private StoredAnswers() {}

    /** Returns the answer to report, without its body if that is too large to store. */
    public static StoredAnswer of(int status, String contentType, ByteString body) {
        StoredAnswer.Builder answer =
                StoredAnswer.newBuilder().setStatus(status).setContentType(contentType);
        return body.size() > MAX_BODY_BYTES
                ? withinLimits(answer.build())
                : withinLimits(answer.setBody(body).setBodyKept(true).build());
    }

    /** Returns {@code answer}, without its body if that is over the limit or not marked as kept. */
    static StoredAnswer withinLimits(StoredAnswer answer) {
        StoredAnswer trimmed = answer;
        if (answer.getContentType().length() > MAX_CONTENT_TYPE_LENGTH) {
            trimmed = answer.toBuilder().clearContentType().build();
        }
        boolean keep = answer.getBodyKept() && answer.getBody().size() <= MAX_BODY_BYTES;
        return keep ? trimmed : withoutBody(trimmed);
    }

    /** Returns {@code answer} without its body, marked as not kept. */
    static StoredAnswer withoutBody(StoredAnswer answer) {
        return answer.toBuilder().clearBody().setBodyKept(false).build();
    }
}
