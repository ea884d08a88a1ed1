package org.jacinthwharf.request.outcome;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.primitives.Ints;
import java.util.Optional;
import org.jacinthwharf.id.RequestId;

/**
 * Identifies one attempt of a request; sent to the backend server, which echoes it.
 *
 * <p>Immutable. Written as {@code requestId/attempt}.
 *
 * @param request the request
 * @param attempt number of the attempt, from 1
 */
public record AttemptId(RequestId request, int attempt) {
    /**
     * Creates an id.
     *
     * @throws IllegalArgumentException if {@code attempt} is not positive
     */
    public AttemptId {
        checkArgument(attempt > 0, "attempt not positive: %s", attempt);
    }

    /** Parses untrusted input; returns empty if {@code value} is malformed. */
    public static Optional<AttemptId> parse(String value) {
        int slash = value.lastIndexOf('/');
        if (slash < 0) {
            return Optional.empty();
        }
        Integer attempt = Ints.tryParse(value.substring(slash + 1));
        if (attempt == null || attempt <= 0) {
            return Optional.empty();
        }
        return RequestId.parse(value.substring(0, slash)).map(r -> new AttemptId(r, attempt));
    }

    /** Returns the form that {@link #parse} accepts. */
    @Override
    public String toString() {
        return request.value() + "/" + attempt;
    }
}
