package org.jacinthwharf.process.router;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a byte stream into server-sent events, as the HTML standard defines them.
 *
 * <p>Invariant: an event is returned once, when its empty line has arrived; the rest is kept. Not
 * thread-safe; used on the event loop. Cost is linear in the bytes.
 */
final class ServerSentEvents {
    /** Longest event; a longer one means that the stream is not one of events. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream(256);
    private final StringBuilder mData = new StringBuilder();
    private String mId = "";
    private String mName = "";
    private int mEventBytes;

    /**
     * One event.
     *
     * @param id value of the last {@code id} line in the event, or empty
     * @param name value of the {@code event} line, or empty
     * @param data values of the {@code data} lines, joined by line ends
     */
    record Event(String id, String name, String data) {}

    /** Returns the events that {@code part} completes; comments are dropped. */
    List<Event> feed(ByteString part) {
        List<Event> events = new ArrayList<>();
        for (int i = 0; i < part.size(); i++) {
            byte b = part.byteAt(i);
            if (b == '\n') {
                endLine(events);
            } else if (b != '\r') {
                mLine.write(b);
            }
        }
        return events;
    }

    /** Returns whether the event under way has grown beyond the limit. */
    boolean isTooLong() {
        return mEventBytes + mLine.size() > MAX_EVENT_BYTES;
    }

    private void endLine(List<Event> events) {
        mEventBytes += mLine.size();
        String line = mLine.toString(StandardCharsets.UTF_8);
        mLine.reset();
        if (line.isEmpty()) {
            endEvent(events);
            return;
        }
        int colon = line.indexOf(':');
        String field = colon < 0 ? line : line.substring(0, colon);
        String value = colon < 0 ? "" : line.substring(colon + 1);
        value = value.startsWith(" ") ? value.substring(1) : value;
        switch (field) {
            case "id" -> mId = value;
            case "event" -> mName = value;
            case "data" -> mData.append(mData.isEmpty() ? "" : "\n").append(value);
            default -> {} // Comments and unknown fields are ignored, as the standard says.
        }
    }

    private void endEvent(List<Event> events) {
        if (!mData.isEmpty() || !mName.isEmpty()) {
            events.add(new Event(mId, mName, mData.toString()));
        }
        mData.setLength(0);
        mId = "";
        mName = "";
        mEventBytes = 0;
    }

    /** Appends an event in the form of the standard. */
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
