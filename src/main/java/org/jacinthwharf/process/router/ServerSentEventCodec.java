package org.jacinthwharf.process.router;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses and formats server-sent events as defined by the HTML standard.
 *
 * <p>Invariant: each event is returned once, when its terminating empty line arrives; incomplete
 * input is buffered until then. Not thread-safe; used on the event loop. Parsing takes time linear
 * in the number of bytes.
 */
final class ServerSentEventCodec {
    /** Maximum size of one event; longer input is not an event stream. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteArrayOutputStream mLineBuffer = new ByteArrayOutputStream(256);
    private final StringBuilder mData = new StringBuilder();
    private String mEventId = "";
    private String mEventName = "";
    private int mEventBytes;

    /**
     * One event.
     *
     * @param id value of the last {@code id} field, or empty
     * @param name value of the last {@code event} field, or empty
     * @param data values of the {@code data} fields, joined by line feeds
     */
    record Event(String id, String name, String data) {}

    /** Parses {@code chunk} and returns the events that it completes, without comments. */
    List<Event> feed(ByteString chunk) {
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < chunk.size(); i++) {
            byte b = chunk.byteAt(i);
            if (b == '\n') {
                endLine(events);
            } else if (b != '\r') {
                mLineBuffer.write(b);
            }
        }
        return events;
    }

    /** Returns whether the incomplete event exceeds {@link #MAX_EVENT_BYTES}. */
    boolean isOversized() {
        return mEventBytes + mLineBuffer.size() > MAX_EVENT_BYTES;
    }

    private void endLine(List<Event> events) {
        mEventBytes += mLineBuffer.size();
        String line = mLineBuffer.toString(StandardCharsets.UTF_8);
        mLineBuffer.reset();
        if (line.isEmpty()) {
            endEvent(events);
            return;
        }
        int colon = line.indexOf(':');
        String field = colon < 0 ? line : line.substring(0, colon);
        String value = colon < 0 ? "" : line.substring(colon + 1);
        value = value.startsWith(" ") ? value.substring(1) : value;
        switch (field) {
            case "id" -> mEventId = value;
            case "event" -> mEventName = value;
            case "data" -> mData.append(mData.isEmpty() ? "" : "\n").append(value);
            default -> {} // The standard requires ignoring comments and unknown fields.
        }
    }

    private void endEvent(List<Event> events) {
        if (!mData.isEmpty() || !mEventName.isEmpty()) {
            events.add(new Event(mEventId, mEventName, mData.toString()));
        }
        mData.setLength(0);
        mEventId = "";
        mEventName = "";
        mEventBytes = 0;
    }

    /** Formats an event and appends it to {@code out}. */
    static void append(StringBuilder out, String id, String name, String data) {
        out.append("id: ").append(id).append('\n');
        if (!name.isEmpty()) {
            out.append("event: ").append(name).append('\n');
        }
        int start = 0;
        for (int end = data.indexOf('\n'); end >= 0; end = data.indexOf('\n', start)) {
            out.append("data: ").append(data, start, end).append('\n');
            start = end + 1;
        }
        out.append("data: ").append(data, start, data.length()).append("\n\n");
    }
}
