package org.jacinthwharf.process.gateway;

import com.google.common.base.CharMatcher;
import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.util.Optional;
import org.jacinthwharf.connection.BudgetedBuffer;
import org.jacinthwharf.connection.BufferBudget;

/**
 * Splits a stream of server-sent events at event boundaries, so that it can be resumed on another
 * server after a failure, and rejects bytes that do not continue the stream.
 *
 * <p>Used on the event loop only. Each byte is scanned once and copied at most twice, however the
 * bytes are cut. Invariants: the returned bytes end at an event boundary, and the last event id is
 * that of the last event returned; ids that are numbers increase; after an event that does not fit
 * nothing is returned until {@link #dropPartialEvent}.
 */
final class EventSplitter {
    /** An event, or a row of comments, that is longer does not come from a sound server. */
    static final int MAX_EVENT_BYTES = 256 << 10;

    /** Characters of an id that can be sent to another server in a header. */
    private static final CharMatcher ID_CHARACTERS = CharMatcher.inRange(' ', '~');

    private static final CharMatcher DIGITS = CharMatcher.inRange('0', '9');
    private static final String ID_FIELD = "id:";

    /** A longer id cannot be sent in a header. */
    private static final int MAX_ID_LINE_LENGTH = 1 << 10;

    private static final byte NEWLINE = '\n';

    private final BufferBudget mBudget;
    private final boolean mRequiresIds;
    private Optional<String> mLastEventId;
    private boolean mResumable = true;
    private boolean mHasIds;
    private boolean mContinuing;
    private Optional<String> mMisfit = Optional.empty();

    /** Bytes of an event whose end has not arrived; null if there are none. */
    private BudgetedBuffer mPartialEvent;

    /** Bytes since the last event: those of comments, and of an event that is not whole. */
    private int mBytesSinceEvent;

    private int mLineLength;

    /** The first characters of the current line; all of them if it is an id. */
    private final StringBuilder mLineStart = new StringBuilder();

    private boolean mHasField;

    /** Whether the bytes since the last event are whole comments. */
    private boolean mHoldsCommentsOnly;

    private Optional<String> mEventId = Optional.empty();

    /**
     * Creates a splitter for a stream that resumes after the given event.
     *
     * @param requiresIds whether an event without an id cannot belong to the stream
     */
    EventSplitter(Optional<String> lastEventId, boolean requiresIds, BufferBudget budget) {
        mLastEventId = lastEventId;
        mRequiresIds = requiresIds;
        mHasIds = lastEventId.isPresent();
        mContinuing = lastEventId.isPresent();
        mBudget = budget;
    }

    /** Appends bytes and returns all complete events that fit; the caller releases the result. */
    ByteBuf feed(ByteBuf data) {
        if (mMisfit.isPresent()) {
            return Unpooled.EMPTY_BUFFER;
        }
        int start = data.readerIndex();
        int eventsEnd = start;
        int lastEventEnd = start;
        int next = start;
        while (next < data.writerIndex() && mMisfit.isEmpty()) {
            int newline = data.indexOf(next, data.writerIndex(), NEWLINE);
            int lineEnd = newline < 0 ? data.writerIndex() : newline;
            appendToLine(data, next, lineEnd);
            next = newline < 0 ? lineEnd : newline + 1;
            if (newline >= 0 && endsEvent()) {
                boolean event = mHasField;
                if (isFit()) {
                    eventsEnd = next;
                    lastEventEnd = event ? next : lastEventEnd;
                }
            }
        }
        mBytesSinceEvent += data.writerIndex() - lastEventEnd;
        ByteBuf events = takeEvents(data, eventsEnd - start);
        keepPartialEvent(data, eventsEnd);
        return events;
    }

    private void appendToLine(ByteBuf data, int from, int to) {
        mHoldsCommentsOnly &= from == to;
        mLineLength += to - from;
        for (int i = from; i < to && isLineStartIncomplete(); i++) {
            mLineStart.append((char) (data.getByte(i) & 0xff));
        }
    }

    private boolean isLineStartIncomplete() {
        return mLineStart.length() < ID_FIELD.length()
                || (mLineStart.length() < MAX_ID_LINE_LENGTH && mLineStart.indexOf(ID_FIELD) == 0);
    }

    /** Processes the end of a line; returns whether it is the blank one that ends an event. */
    private boolean endsEvent() {
        String line = mLineStart.toString();
        boolean blank = mLineLength == 0 || (mLineLength == 1 && line.equals("\r"));
        if (!blank && line.charAt(0) != ':') {
            mHasField = true;
            if (line.startsWith(ID_FIELD)) {
                mEventId = Optional.of(line.substring(ID_FIELD.length()).trim());
            }
        }
        clearLine();
        return blank;
    }

    /** Returns whether the event that has just ended continues the stream. */
    private boolean isFit() {
        if (!mHasField && mContinuing) {
            // Held back until an event follows, since it may come from anywhere.
            mHoldsCommentsOnly = true;
            return false;
        }
        if (mHasField) {
            if (mEventId.isEmpty() && (mRequiresIds || mHasIds)) {
                mMisfit = Optional.of("an event without an id");
                return false;
            }
            if (mEventId.isPresent() && !follows(mEventId.get())) {
                mMisfit = Optional.of("an event whose id does not follow the last one");
                return false;
            }
            if (mEventId.isPresent()) {
                mLastEventId = mEventId;
                mHasIds = true;
                mResumable =
                        ID_CHARACTERS.matchesAllOf(mEventId.get())
                                && mEventId.get().length() < MAX_ID_LINE_LENGTH - ID_FIELD.length();
            } else {
                mResumable = false;
            }
            mBytesSinceEvent = 0;
        }
        clearEvent();
        return true;
    }

    private boolean follows(String id) {
        if (mLastEventId.isEmpty()) {
            return true;
        }
        Optional<Long> last = parseNumber(mLastEventId.get());
        Optional<Long> number = parseNumber(id);
        if (last.isPresent() && number.isPresent()) {
            return number.get() > last.get();
        }
        boolean otherForm = last.isPresent() && mContinuing;
        return !otherForm && !id.isEmpty() && !id.equals(mLastEventId.get());
    }

    private static Optional<Long> parseNumber(String id) {
        return DIGITS.matchesAllOf(id) ? Optional.ofNullable(Longs.tryParse(id)) : Optional.empty();
    }

    /** Copies, since a piece of a read buffer keeps all of it in memory. */
    private ByteBuf takeEvents(ByteBuf data, int length) {
        if (length == 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        int partial = mPartialEvent == null ? 0 : mPartialEvent.readableBytes();
        ByteBuf events = ByteBufAllocator.DEFAULT.buffer(partial + length);
        if (mPartialEvent != null) {
            events.writeBytes(mPartialEvent);
            releasePartialEvent();
        }
        return events.writeBytes(data, data.readerIndex(), length);
    }

    private void keepPartialEvent(ByteBuf data, int from) {
        if (mMisfit.isEmpty() && mBytesSinceEvent > MAX_EVENT_BYTES) {
            mMisfit = Optional.of("no whole event in " + MAX_EVENT_BYTES + " bytes");
        }
        int length = data.writerIndex() - from;
        if (mMisfit.isPresent() || length == 0) {
            return;
        }
        if (mPartialEvent == null) {
            mPartialEvent = new BudgetedBuffer(mBudget);
        }
        if (!mPartialEvent.tryAppend(data.slice(from, length))) {
            mMisfit = Optional.of("no memory for an event");
        }
    }

    /** Returns why the last event does not continue the stream, if it does not. */
    Optional<String> misfit() {
        return mMisfit;
    }

    /** Returns whether the bytes so far end inside an event. */
    boolean isInsideEvent() {
        return mPartialEvent != null && !mHoldsCommentsOnly;
    }

    /** Returns the bytes after the last complete event, of which there must be some. */
    BudgetedBuffer takeRemainder() {
        BudgetedBuffer rest = mPartialEvent;
        mPartialEvent = null;
        dropPartialEvent();
        return rest;
    }

    /** Discards the incomplete event at the end of a broken stream; the next attempt continues. */
    void dropPartialEvent() {
        releasePartialEvent();
        mMisfit = Optional.empty();
        mBytesSinceEvent = 0;
        mContinuing |= mLastEventId.isPresent();
        clearLine();
        clearEvent();
    }

    private void releasePartialEvent() {
        if (mPartialEvent != null) {
            mPartialEvent.release();
            mPartialEvent = null;
        }
    }

    private void clearLine() {
        mLineLength = 0;
        mLineStart.setLength(0);
    }

    private void clearEvent() {
        mHasField = false;
        mHoldsCommentsOnly = false;
        mEventId = Optional.empty();
    }

    Optional<String> lastEventId() {
        return mLastEventId;
    }

    /** Returns whether another server can be told the last event id. */
    boolean isResumable() {
        return mResumable;
    }
}
