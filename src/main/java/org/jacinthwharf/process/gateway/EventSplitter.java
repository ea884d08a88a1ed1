package org.jacinthwharf.process.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events into whole events, so that it can go on elsewhere after a
 * break.
 *
 * <p>Used on the event loop only. Invariant: what it hands out ends with a whole event, and the
 * last event id is the one of the last event handed out.
 */
final class EventSplitter {
    private static final byte NEWLINE = '\n';
    private static final byte RETURN = '\r';

    private ByteBuf mTail = Unpooled.EMPTY_BUFFER;
    private Optional<String> mLastEventId;

    /** Creates a splitter for a stream that goes on after the given event. */
    EventSplitter(Optional<String> lastEventId) {
        mLastEventId = lastEventId;
    }

    /** Adds bytes and returns the whole events; the result is the caller's to release. */
    ByteBuf feed(ByteBuf part) {
        ByteBuf all = Unpooled.wrappedBuffer(mTail, part.retain());
        int end = endOfEvents(all);
        ByteBuf events = all.readRetainedSlice(end);
        noteIds(events);
        mTail = all.isReadable() ? Unpooled.copiedBuffer(all) : Unpooled.EMPTY_BUFFER;
        all.release();
        return events;
    }

    /** Returns what is left after the last event of a complete stream. */
    ByteBuf rest() {
        ByteBuf rest = mTail;
        mTail = Unpooled.EMPTY_BUFFER;
        return rest;
    }

    /** Forgets a part of an event, because the stream broke in it. */
    void dropPartialEvent() {
        mTail.release();
        mTail = Unpooled.EMPTY_BUFFER;
    }

    Optional<String> lastEventId() {
        return mLastEventId;
    }

    /** Returns the number of bytes up to the end of the last whole event. */
    private static int endOfEvents(ByteBuf all) {
        for (int i = all.writerIndex() - 1; i > all.readerIndex(); i--) {
            if (all.getByte(i) != NEWLINE) {
                continue;
            }
            int before = all.getByte(i - 1) == RETURN ? i - 2 : i - 1;
            if (before >= all.readerIndex() && all.getByte(before) == NEWLINE) {
                return i + 1 - all.readerIndex();
            }
        }
        return 0;
    }

    private void noteIds(ByteBuf events) {
        int start = events.readerIndex();
        while (start < events.writerIndex()) {
            int end = events.indexOf(start, events.writerIndex(), NEWLINE);
            int length = (end < 0 ? events.writerIndex() : end) - start;
            if (length > 3
                    && events.getByte(start) == 'i'
                    && events.getByte(start + 1) == 'd'
                    && events.getByte(start + 2) == ':') {
                mLastEventId =
                        Optional.of(
                                events.toString(start + 3, length - 3, StandardCharsets.US_ASCII)
                                        .trim());
            }
            start += length + 1;
        }
    }
}
