package org.jacinthwharf.process.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against events that are lost, doubled or joined when a stream goes on elsewhere. */
final class EventSplitterTest {
    private final EventSplitter mSplitter = new EventSplitter(Optional.empty());

    private String feed(String text) {
        ByteBuf part = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        ByteBuf events = mSplitter.feed(part);
        part.release();
        String result = events.toString(StandardCharsets.UTF_8);
        events.release();
        return result;
    }

    @Test
    void onlyWholeEventsAreHandedOutWhereverTheBytesAreCut() {
        String stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
        for (int cut = 0; cut <= stream.length(); cut++) {
            EventSplitterTest test = new EventSplitterTest();
            String first = test.feed(stream.substring(0, cut));
            assertThat(first.isEmpty() || first.endsWith("\n\n")).isTrue();
            assertThat(first + test.feed(stream.substring(cut))).isEqualTo(stream);
            assertThat(test.mSplitter.lastEventId()).hasValue("3");
        }
    }

    @Test
    void aBrokenEventIsDroppedAndTheStreamGoesOnAfterTheLastWholeOne() {
        assertThat(feed("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        mSplitter.dropPartialEvent();
        assertThat(mSplitter.lastEventId()).hasValue("1");
        assertThat(feed("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    }

    @Test
    void linesMayEndWithCarriageReturns() {
        assertThat(feed("id: 7\r\ndata: a\r\n\r\nid:")).isEqualTo("id: 7\r\ndata: a\r\n\r\n");
        assertThat(mSplitter.lastEventId()).hasValue("7");
    }
}
