package org.jacinthwharf.process.router;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import com.google.protobuf.ByteString;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.jacinthwharf.id.RequestId;
import org.jacinthwharf.request.outcome.AnswerMatcher;
import org.jacinthwharf.request.outcome.AnswerMatcher.Match;
import org.jacinthwharf.request.outcome.AttemptEvent;
import org.jacinthwharf.request.outcome.AttemptId;
import org.jacinthwharf.request.outcome.NotRunProof;
import org.jacinthwharf.request.outcome.StreamAssembler;
import org.jacinthwharf.request.outcome.StreamAssembler.Step;

/**
 * Receives the answer to one attempt and converts its result into an {@link AttemptEvent}.
 *
 * <p>Used on the event loop only. Invariants: no byte of an answer that belongs to another request
 * or attempt reaches the caller; at most one event is reported.
 */
final class AttemptReceiver implements AttemptListener {
    /** Maximum size of an answer that is not streamed; it is buffered until it is complete. */
    static final int MAX_ANSWER_BYTES = 8 << 20;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String END_EVENT = "end";

    private final AttemptId mAttemptId;
    private final boolean mWantsStream;
    private final AnswerMatcher mMatcher;
    private final StreamAssembler mAssembler;
    private final Sink mSink;
    private final ServerSentEventCodec mEventCodec = new ServerSentEventCodec();
    private ByteString mBody = ByteString.EMPTY;
    private int mStatus;
    private String mContentType = "";
    private String mNotRunHeader = "";
    private long mReportedCost = -1;
    private boolean mStreaming;
    private boolean mFinished;

    /** Receives the events of one attempt. */
    interface Sink {
        /** Called when bytes of the answer arrive; {@code first} is true for the headers. */
        void onProgress(boolean first);

        /**
         * Called with events to forward to the caller.
         *
         * @param chunk the formatted events
         * @param events number of events in {@code chunk}, without the end event
         * @param whenWritten runs when {@code chunk} has been written to the caller
         */
        void onStreamEvents(ByteString chunk, int events, Runnable whenWritten);

        /** Returns the event id that the caller receives for a sequence number. */
        String eventId(long sequence);

        /** Called at most once, with the event that ends the attempt. */
        void onAttemptEvent(AttemptEvent event);

        /** Called when an answer is dropped because it does not match the attempt. */
        void onDropped(Match match);
    }

    AttemptReceiver(
            AttemptId id,
            boolean wantsStream,
            AnswerMatcher matcher,
            StreamAssembler assembler,
            Sink sink) {
        mAttemptId = id;
        mWantsStream = wantsStream;
        mMatcher = matcher;
        mAssembler = assembler;
        mSink = sink;
    }

    @Override
    public void onHeaders(int status, HttpFields headers) {
        if (mFinished) {
            return;
        }
        Match match = mMatcher.onAnswer(parseAttemptId(headers));
        if (match != Match.ACCEPTED) {
            // Also a late answer to an earlier attempt leaves this one without its own.
            mSink.onDropped(match);
            finish(new AttemptEvent.CrossedAnswer(mAttemptId.attempt()));
            return;
        }
        mSink.onProgress(true);
        mStatus = status;
        mContentType = nullToEmpty(headers.get(HttpHeader.CONTENT_TYPE));
        mNotRunHeader = nullToEmpty(headers.get(NotRunProof.HEADER));
        mReportedCost = BackendClient.reportedCost(headers);
        mStreaming = mWantsStream && status == 200 && mContentType.startsWith("text/event-stream");
    }

    /** Returns the attempt that an answer states to belong to. */
    static Optional<AttemptId> parseAttemptId(HttpFields headers) {
        Optional<RequestId> request =
                RequestId.parse(nullToEmpty(headers.get(RequestHeaders.REQUEST_ID)));
        Integer attempt = Ints.tryParse(nullToEmpty(headers.get(RequestHeaders.ATTEMPT)));
        return attempt == null || attempt < 1
                ? Optional.empty()
                : request.map(r -> new AttemptId(r, attempt));
    }

    @Override
    public void onContent(ByteString chunk, Runnable readMore) {
        mSink.onProgress(false);
        if (mStreaming) {
            forwardEvents(chunk, readMore);
            return;
        }
        mBody = mBody.concat(chunk);
        if (mBody.size() > MAX_ANSWER_BYTES) {
            finish(new AttemptEvent.ConnectionClosed(mAttemptId.attempt()));
        }
        readMore.run();
    }

    private void forwardEvents(ByteString chunk, Runnable readMore) {
        StringBuilder out = new StringBuilder();
        int forwarded = 0;
        AttemptEvent end = null;
        for (ServerSentEventCodec.Event e : mEventCodec.feed(chunk)) {
            Step step = handleEvent(e);
            if (step == Step.DELIVER) {
                String id = mSink.eventId(Longs.tryParse(e.id()));
                ServerSentEventCodec.append(out, id, e.name(), e.data());
                forwarded++;
            } else if (step == Step.COMPLETE) {
                out.append("event: end\ndata: ").append(e.data()).append("\n\n");
                end = new AttemptEvent.AnswerComplete(mAttemptId.attempt());
                break;
            } else if (step == Step.TRUNCATED) {
                end = newTruncatedEvent();
                break;
            }
        }
        if (mEventCodec.isOversized()) {
            end = newTruncatedEvent();
        }
        if (out.length() > 0) {
            mSink.onStreamEvents(ByteString.copyFromUtf8(out.toString()), forwarded, readMore);
        } else {
            readMore.run();
        }
        if (end != null) {
            finish(end);
        }
    }

    private Step handleEvent(ServerSentEventCodec.Event event) {
        if (!event.name().equals(END_EVENT)) {
            Long sequence = Longs.tryParse(event.id());
            return sequence == null ? Step.TRUNCATED : mAssembler.onEvent(sequence);
        }
        try {
            JsonNode data = JSON.readTree(event.data());
            mReportedCost = data.path("cost").asLong(mReportedCost);
            return mAssembler.onEnd(data.path("events").asLong(-1));
        } catch (JacksonException e) {
            return Step.TRUNCATED;
        }
    }

    @Override
    public boolean isFinished() {
        return mFinished;
    }

    @Override
    public void onEnd() {
        if (mFinished) {
            return;
        }
        if (mStreaming) {
            mAssembler.onClosed();
            finish(newTruncatedEvent());
        } else if (NotRunProof.isProof(mStatus, mNotRunHeader)) {
            finish(new AttemptEvent.ServerNotRun(mAttemptId.attempt()));
        } else if (mStatus >= 500) {
            finish(new AttemptEvent.ServerError(mAttemptId.attempt()));
        } else {
            finish(new AttemptEvent.AnswerComplete(mAttemptId.attempt()));
        }
    }

    @Override
    public void onFailed(boolean requestMayHaveBeenSent, Throwable cause) {
        if (mFinished) {
            return;
        }
        if (!requestMayHaveBeenSent) {
            finish(new AttemptEvent.ConnectFailed(mAttemptId.attempt()));
        } else if (mStreaming) {
            mAssembler.onClosed();
            finish(newTruncatedEvent());
        } else {
            finish(new AttemptEvent.ConnectionClosed(mAttemptId.attempt()));
        }
    }

    private AttemptEvent newTruncatedEvent() {
        return new AttemptEvent.StreamTruncated(mAttemptId.attempt(), mAssembler.nextSequence());
    }

    private void finish(AttemptEvent event) {
        mFinished = true;
        mSink.onAttemptEvent(event);
    }

    /** Abandons the attempt and ignores the rest of its answer. */
    void abandon() {
        mFinished = true;
        mMatcher.onAbandon();
    }

    int status() {
        return mStatus;
    }

    String contentType() {
        return mContentType;
    }

    ByteString body() {
        return mBody;
    }

    boolean isStreaming() {
        return mStreaming;
    }

    /** Returns the cost that the server reported in cost units, or a negative number if none. */
    long reportedCost() {
        return mReportedCost;
    }

    private static String nullToEmpty(String text) {
        return text == null ? "" : text;
    }
}
