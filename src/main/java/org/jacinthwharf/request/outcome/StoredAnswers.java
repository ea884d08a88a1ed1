package org.jacinthwharf.request.outcome;

import com.google.protobuf.ByteString;
import org.jacinthwharf.wire.generated.StoredAnswer;

/**
 * Limits the answers that claims keep. Stateless and thread-safe.
 *
 * <p>Invariant: a kept answer has at most {@link #MAX_BODY_BYTES} of body.
 */
public final class StoredAnswers {
    /** Largest body that goes through the consensus log with its claim. */
    public static final int MAX_BODY_BYTES = 32 * 1024;

    /** Longer content types are no media types; they would escape the bound on bodies. */
    private static final int MAX_CONTENT_TYPE_LENGTH = 256;

    private StoredAnswers() {}

    /** Returns the answer to report; the body is left out if it is too large to keep. */
    public static StoredAnswer of(int status, String contentType, ByteString body) {
        StoredAnswer.Builder answer =
                StoredAnswer.newBuilder().setStatus(status).setContentType(contentType);
        return body.size() > MAX_BODY_BYTES
                ? limited(answer.build())
                : limited(answer.setBody(body).setBodyKept(true).build());
    }

    /** Returns {@code answer}, without its body if that is over the limit or not marked kept. */
    static StoredAnswer limited(StoredAnswer answer) {
        StoredAnswer limited = answer;
        if (answer.getContentType().length() > MAX_CONTENT_TYPE_LENGTH) {
            limited = answer.toBuilder().clearContentType().build();
        }
        boolean keep = answer.getBodyKept() && answer.getBody().size() <= MAX_BODY_BYTES;
        return keep ? limited : withoutBody(limited);
    }

    /** Returns "done, answer not kept" for {@code answer}. */
    static StoredAnswer withoutBody(StoredAnswer answer) {
        return answer.toBuilder().clearBody().setBodyKept(false).build();
    }
}
