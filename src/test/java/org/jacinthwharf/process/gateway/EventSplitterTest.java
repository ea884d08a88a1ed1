package org.jacinthwharf.process.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.jacinthwharf.connection.BufferBudget;
import org.junit.jupiter.api.Test;

/** Guards against lost, duplicated or merged events when a stream resumes on another server. */
final class EventSplitterTest {
    private final EventSplitter mSplitter =
            new EventSplitter(Optional.empty(), false, new BufferBudget(1 << 20));

    private String feed(String text) {
        ByteBuf data = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        ByteBuf events = mSplitter.feed(data);
        data.release();
        String result = events.toString(StandardCharsets.UTF_8);
        events.release();
        return result;
    }

    @Test
    void onlyCompleteEventsAreReturnedWhereverTheBytesAreSplit() {
        String stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
        for (int split = 0; split <= stream.length(); split++) {
            EventSplitterTest test = new EventSplitterTest();
            String first = test.feed(stream.substring(0, split));
            assertThat(first.isEmpty() || first.endsWith("\n\n")).isTrue();
            assertThat(first + test.feed(stream.substring(split))).isEqualTo(stream);
            assertThat(test.mSplitter.lastEventId()).hasValue("3");
        }
    }

    @Test
    void anIncompleteEventIsDroppedAndTheStreamResumesAfterTheLastCompleteOne() {
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

    // Guards against an id that halts the gateway when it is written to a header.
    @Test
    void streamWhoseLastIdIsNoHeaderValueIsNotResumable() {
        feed("id: 1\ndata: a\n\n");
        assertThat(mSplitter.isResumable()).isTrue();
        feed("id: 2\u0000x\ndata: a\n\n");
        assertThat(mSplitter.isResumable()).isFalse();
        feed("id: 3\ndata: a\n\n");
        assertThat(mSplitter.isResumable()).isTrue();
    }

    // Guards against foreign bytes in the middle of a stream that another server continues.
    @Test
    void eventsThatDoNotFollowAreRejectedAndNothingIsReturnedAfterThem() {
        feed("id: 1\ndata: a\n\n");
        mSplitter.dropPartialEvent();
        for (String foreign :
                new String[] {"data: no id\n\n", "id: 1\ndata: a\n\n", "id: 0\n\n", "id: x\n\n"}) {
            assertThat(feed(foreign + "id: 2\ndata: b\n\n")).isEmpty();
            assertThat(mSplitter.misfit()).isPresent();
            assertThat(feed("id: 3\ndata: c\n\n")).isEmpty();
            mSplitter.dropPartialEvent();
            assertThat(mSplitter.lastEventId()).hasValue("1");
        }
        assertThat(feed(":\n\n")).isEmpty();
        assertThat(mSplitter.isInsideEvent()).isFalse();
        assertThat(feed("id: 2\ndata: b\n\n")).isEqualTo(":\n\nid: 2\ndata: b\n\n");
    }

    @Test
    void streamsWithoutIdsArePassedOnButNotResumed() {
        assertThat(feed("data: a\n\n:\n\ndata: b\n\n")).isEqualTo("data: a\n\n:\n\ndata: b\n\n");
        assertThat(mSplitter.isResumable()).isFalse();
    }

    // Guards against bytes in tiny chunks whose cost grows with the square of their number.
    @Test
    void eachByteOfLongEventIsScannedOnce() {
        long start = System.nanoTime();
        for (int i = 0; i < EventSplitter.MAX_EVENT_BYTES; i++) {
            assertThat(feed("x")).isEmpty();
        }
        assertThat(mSplitter.misfit()).isEmpty();
        feed("x");
        assertThat(mSplitter.misfit()).isPresent();
        // It took minutes when the whole event was scanned again for each chunk.
        assertThat(System.nanoTime() - start).isLessThan(10_000_000_000L);
    }

    @Test
    void commentsWithoutEndAreRejected() {
        for (int i = 0; i <= EventSplitter.MAX_EVENT_BYTES / 3; i++) {
            feed(":\n\n");
        }
        assertThat(mSplitter.misfit()).isPresent();
    }
}
