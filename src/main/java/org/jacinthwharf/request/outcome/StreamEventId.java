package org.jacinthwharf.request.outcome;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import java.util.List;
import java.util.Optional;
import org.jacinthwharf.id.BackendServerId;
import org.jacinthwharf.id.RequestId;

/**
 * Identifies one event of a stream to the caller, so that any router can resume after it.
 *
 * <p>Immutable. Written as {@code requestId/backendServerId/sequence}; ids contain no slash.
 *
 * @param request the request
 * @param server the backend server that sent the event; preferred when resuming
 * @param sequence number of the event, from 1
 */
public record StreamEventId(RequestId request, BackendServerId server, long sequence) {
    private static final Splitter SLASH_SPLITTER = Splitter.on('/');

    /**
     * Creates an id.
     *
     * @throws IllegalArgumentException if {@code sequence} is not positive
     */
    public StreamEventId {
        checkArgument(sequence > 0, "sequence not positive: %s", sequence);
    }

    /** Parses a {@code Last-Event-ID} header; returns empty if it is malformed. */
    public static Optional<StreamEventId> parse(String value) {
        List<String> parts = SLASH_SPLITTER.splitToList(value);
        if (parts.size() != 3) {
            return Optional.empty();
        }
        Optional<RequestId> request = RequestId.parse(parts.get(0));
        Optional<BackendServerId> server = BackendServerId.parse(parts.get(1));
        Long sequence = Longs.tryParse(parts.get(2));
        if (request.isEmpty() || server.isEmpty() || sequence == null || sequence <= 0) {
            return Optional.empty();
        }
        return Optional.of(new StreamEventId(request.get(), server.get(), sequence));
    }

    /** Returns the form that {@link #parse} accepts. */
    @Override
    public String toString() {
        return request.value() + "/" + server.value() + "/" + sequence;
    }
}
