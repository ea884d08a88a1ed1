package org.jacinthwharf.connection;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against two answers that are taken for one, and sound ones that are taken for two. */
final class HeadSeamTest {
    @Test
    void aStatusLineIsFoundWhereverTheCutLeavesIt() {
        assertThat(HeadSeam.isIn("IntHTTP/1.1 200 OK")).isTrue();
        assertThat(HeadSeam.isIn("Request-IHTTP/1.1", "500 Y")).isTrue();
        assertThat(HeadSeam.isIn("Request-Id", "r1HTTP/1.0 503 X")).isTrue();
    }

    @Test
    void soundHeadsHaveNone() {
        assertThat(HeadSeam.isIn("OK")).isFalse();
        assertThat(HeadSeam.isIn("Via", "HTTP/1.1 proxy")).isFalse();
        assertThat(HeadSeam.isIn("Server", "")).isFalse();
    }
}
