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
 * Receives the answer to one attempt and turns it into an {@link AttemptEvent}.
 *
 * <p>Used on the event loop only. Invariant: nothing of an answer with another identity reaches the
 * caller, and one event at most is reported.
 */
final class AttemptReceiver implements AttemptListener {
    /** Largest whole answer; it is held in memory until it is complete. */
    static final int MAX_ANSWER_BYTES = 8 << 20;

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String END_EVENT = "end";

    private final AttemptId mId;
    private final boolean mWantsStream;
    private final AnswerMatcher mMatcher;
    private final StreamAssembler mAssembler;
    private final Sink mSink;
    private final ServerSentEvents mEvents = new ServerSentEvents();
    private ByteString mBody = ByteString.EMPTY;
    private int mStatus;
    private String mContentType = "";
    private String mNotRun = "";
    private long mCost = -1;
    private boolean mStreaming;
    private boolean mDone;

    /** Receives what the attempt brings. */
    interface Sink {
        /** Takes note that bytes of the answer arrived; {@code first} for the first time. */
        void onProgress(boolean first);

        /** Takes events for the caller, already in the form of the stream to the caller. */
        void onStreamPart(ByteString part, int events, Runnable whenWritten);

        /** Returns the id of an event towards the caller. */
        String eventId(long sequence);

        /** Takes the one event that ends the attempt. */
        void onAttemptEvent(AttemptEvent event);

        /** Takes note of an answer that was dropped. */
        void onDropped(Match match);
    }

    AttemptReceiver(
            AttemptId id,
            boolean wantsStream,
            AnswerMatcher matcher,
            StreamAssembler assembler,
            Sink sink) {
        mId = id;
        mWantsStream = wantsStream;
        mMatcher = matcher;
        mAssembler = assembler;
        mSink = sink;
    }

    @Override
    public void onHead(int status, HttpFields headers) {
        if (mDone) {
            return;
        }
        Match match = mMatcher.onAnswer(identityIn(headers));
        if (match != Match.ACCEPTED) {
            mSink.onDropped(match);
            if (match == Match.CROSSED) {
                done(new AttemptEvent.CrossedAnswer(mId.attempt()));
            }
            mDone = true;
            return;
        }
        mSink.onProgress(true);
        mStatus = status;
        mContentType = nullToEmpty(headers.get(HttpHeader.CONTENT_TYPE));
        mNotRun = nullToEmpty(headers.get(NotRunProof.HEADER));
        mCost = BackendClient.statedCost(headers);
        mStreaming = mWantsStream && status == 200 && mContentType.startsWith("text/event-stream");
    }

    private static Optional<AttemptId> identityIn(HttpFields headers) {
        Optional<RequestId> request =
                RequestId.parse(nullToEmpty(headers.get(RequestHeaders.REQUEST_ID)));
        Integer attempt = Ints.tryParse(nullToEmpty(headers.get(RequestHeaders.ATTEMPT)));
        return attempt == null || attempt < 1
                ? Optional.empty()
                : request.map(r -> new AttemptId(r, attempt));
    }

    @Override
    public void onContent(ByteString part, Runnable readMore) {
        if (mDone) {
            readMore.run();
            return;
        }
        mSink.onProgress(false);
        if (mStreaming) {
            deliver(part, readMore);
            return;
        }
        mBody = mBody.concat(part);
        if (mBody.size() > MAX_ANSWER_BYTES) {
            done(new AttemptEvent.ConnectionClosed(mId.attempt()));
        }
        readMore.run();
    }

    private void deliver(ByteString part, Runnable readMore) {
        StringBuilder out = new StringBuilder();
        int delivered = 0;
        AttemptEvent end = null;
        for (ServerSentEvents.Event e : mEvents.feed(part)) {
            Step step = stepOf(e);
            if (step == Step.DELIVER) {
                String id = mSink.eventId(Longs.tryParse(e.id()));
                ServerSentEvents.append(out, id, e.name(), e.data());
                delivered++;
            } else if (step == Step.COMPLETE) {
                out.append("event: end\ndata: ").append(e.data()).append("\n\n");
                end = new AttemptEvent.AnswerComplete(mId.attempt());
                break;
            } else if (step == Step.TRUNCATED) {
                end = truncated();
                break;
            }
        }
        if (mEvents.isTooLong()) {
            end = truncated();
        }
        if (out.length() > 0) {
            mSink.onStreamPart(ByteString.copyFromUtf8(out.toString()), delivered, readMore);
        } else {
            readMore.run();
        }
        if (end != null) {
            done(end);
        }
    }

    private Step stepOf(ServerSentEvents.Event event) {
        if (!event.name().equals(END_EVENT)) {
            Long sequence = Longs.tryParse(event.id());
            return sequence == null ? Step.TRUNCATED : mAssembler.onEvent(sequence);
        }
        try {
            JsonNode data = JSON.readTree(event.data());
            mCost = data.path("cost").asLong(mCost);
            return mAssembler.onEnd(data.path("events").asLong(-1));
        } catch (JacksonException e) {
            return Step.TRUNCATED;
        }
    }

    @Override
    public void onEnd() {
        if (mDone) {
            return;
        }
        if (mStreaming) {
            mAssembler.onClosed();
            done(truncated());
        } else if (NotRunProof.isProof(mStatus, mNotRun)) {
            done(new AttemptEvent.ServerNotRun(mId.attempt()));
        } else if (mStatus >= 500) {
            done(new AttemptEvent.ServerError(mId.attempt()));
        } else {
            done(new AttemptEvent.AnswerComplete(mId.attempt()));
        }
    }

    @Override
    public void onFailed(boolean written, Throwable cause) {
        if (mDone) {
            return;
        }
        if (!written) {
            done(new AttemptEvent.ConnectFailed(mId.attempt()));
        } else if (mStreaming) {
            mAssembler.onClosed();
            done(truncated());
        } else {
            done(new AttemptEvent.ConnectionClosed(mId.attempt()));
        }
    }

    private AttemptEvent truncated() {
        return new AttemptEvent.StreamTruncated(mId.attempt(), mAssembler.nextSequence());
    }

    private void done(AttemptEvent event) {
        mDone = true;
        mSink.onAttemptEvent(event);
    }

    /** Drops whatever still arrives; the attempt was given up. */
    void giveUp() {
        mDone = true;
        mMatcher.onGiveUp();
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

    /** Returns the cost that the server stated in cost units, negative if none. */
    long statedCost() {
        return mCost;
    }

    private static String nullToEmpty(String text) {
        return text == null ? "" : text;
    }
}
