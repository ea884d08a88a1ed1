package org.jacinthwharf.process.gateway;

import com.google.common.base.Ascii;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import org.jacinthwharf.connection.BudgetedBuffer;
import org.jacinthwharf.connection.BufferBudget;

/**
 * The stream of events that one caller receives, from the answers of one server or of several.
 *
 * <p>Used on the event loop only. Invariants: the caller receives the head of the first answer that
 * had an event; later answers are accepted only with the same status and type, and of them only
 * events that follow.
 */
final class StreamRelay {
    private static final String EVENT_STREAM = "text/event-stream";

    private final CallerConnection mCaller;
    private final EventSplitter mEvents;
    private boolean mStarted;
    private int mStatus;
    private String mType = "";

    /** How the body of a successful answer is to be read. */
    enum Form {
        /** As events, which are passed on as they arrive. */
        EVENTS,
        /** As a whole, since it is no stream. */
        WHOLE,
        /** Not at all: it does not continue what the caller has received. */
        FOREIGN
    }

    /**
     * Creates a relay that has sent nothing.
     *
     * @param requiresIds whether all events of the stream have ids
     */
    StreamRelay(
            CallerConnection caller,
            Optional<String> lastEventId,
            boolean requiresIds,
            BufferBudget budget) {
        mCaller = caller;
        mEvents = new EventSplitter(lastEventId, requiresIds, budget);
    }

    /** Returns how to read the body of a successful answer. */
    Form form(ServerAnswer answer) {
        String type = mediaType(answer);
        if (mStarted) {
            return answer.status() == mStatus && type.equals(mType) ? Form.EVENTS : Form.FOREIGN;
        }
        // Without a type the body decides: see isUntypedWhole.
        return type.isEmpty() || type.equals(EVENT_STREAM) ? Form.EVENTS : Form.WHOLE;
    }

    private static String mediaType(ServerAnswer answer) {
        String value = answer.header(HttpHeaderNames.CONTENT_TYPE);
        CharSequence type = value == null ? null : HttpUtil.getMimeType(value);
        return type == null ? "" : Ascii.toLowerCase(type.toString().trim());
    }

    /**
     * Passes on the events that are complete with more bytes of an answer.
     *
     * @return whether any event was complete
     */
    boolean onData(ServerAnswer answer, ByteBuf data) {
        ByteBuf events = mEvents.feed(data);
        if (!events.isReadable()) {
            events.release();
            return false;
        }
        write(answer, events);
        return true;
    }

    private void write(ServerAnswer answer, ByteBuf data) {
        if (!mStarted) {
            mStarted = true;
            mStatus = answer.status();
            mType = mediaType(answer);
            mCaller.startStream(answer.headForCaller());
        }
        mCaller.write(data);
    }

    /** Returns why the last bytes do not continue the stream, if they do not. */
    Optional<String> misfit() {
        return mEvents.misfit();
    }

    /** Returns whether the caller has received the head. */
    boolean isStarted() {
        return mStarted;
    }

    /** Returns whether the answer so far ends inside an event. */
    boolean isInsideEvent() {
        return mEvents.isInsideEvent();
    }

    /** Returns whether a complete answer without events may be one that is no stream. */
    boolean isUntypedWhole(ServerAnswer answer) {
        return !mStarted && mEvents.isInsideEvent() && mediaType(answer).isEmpty();
    }

    /** Returns the body of an answer that is no stream. */
    BudgetedBuffer takeWhole() {
        return mEvents.takeRemainder();
    }

    /** Discards what does not belong to a whole event, so that another answer can follow. */
    void dropPartialEvent() {
        mEvents.dropPartialEvent();
    }

    /** Completes the answer to the caller. */
    void end() {
        mCaller.endStream();
    }

    Optional<String> lastEventId() {
        return mEvents.lastEventId();
    }

    /** Returns whether another server can be told where to continue. */
    boolean isResumable() {
        return mEvents.isResumable();
    }
}
