package org.jacinthwharf.connection;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a malformed head that is taken for an answer, and a sound one that is refused. */
final class HeadSyntaxTest {
    private static Optional<String> findDefectInField(String line) {
        return HeadSyntax.findDefect("HTTP/1.1 200 OK\r\nA: b\r\n" + line + "\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK",
                "HTTP/1.0 404 Not Found",
                "HTTP/1.1 599 ",
                "HTTP/1.1 100",
                "HTTP/1.1 299 Of n\u00f6 name\t!"
            })
    void statusLinesOfTheProtocolAreSound(String line) {
        assertThat(HeadSyntax.findDefect(line + "\r\n\r\n")).isEmpty();
        assertThat(HeadSyntax.findDefect(line + "\n\n")).isEmpty();
        assertThat(HeadSyntax.findDefect("\r\n\r\n" + line + "\r\n\r\n")).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "OK",
                "HTTP/1.1",
                "HTTP/1.1 OK",
                "HTTP/1.1 000 OK",
                "HTTP/1.1 099 OK",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 600 OK",
                "HTTP/1.1 +20 OK",
                "HTTP/1.1 200OK",
                "HTTP/1.1 200\tOK",
                "HTTP/1.1  200 OK",
                "HTTP/1.1\t200 OK",
                "HTTP/1.1 200 O\u0000K",
                "HTTP/1.1 200 O\u007fK",
                "HTTP/1.1 200 O\rK",
                "HTTP/2 200 OK",
                "HTTP/1.2 200 OK",
                "http/1.1 200 OK",
                "ICY 200 OK",
                " HTTP/1.1 200 OK",
                "\u0001HTTP/1.1 200 OK"
            })
    void otherStatusLinesAreMalformed(String line) {
        assertThat(HeadSyntax.findDefect(line + "\r\n\r\n")).isPresent();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-A: b",
                "X-A:b",
                "X-A:",
                "X-A: \t b\tc \t",
                "X-A: b: c",
                "X-A: n\u00f6",
                "!#$%&'*+.^_`|~-Name0: b"
            })
    void fieldLinesOfTheProtocolAreSound(String line) {
        assertThat(findDefectInField(line)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X A: b",
                "X\tA: b",
                "X-A : b",
                " X-A: b",
                "\tb",
                "X\u0000A: b",
                "X\u001fA: b",
                "X\u007fA: b",
                "X\u00f6A: b",
                "X\rA: b",
                "X,A: b",
                ": b",
                "X-A",
                "X-A: b\u0000",
                "X-A: b\u007f",
                "X-A: b\rc"
            })
    void otherFieldLinesAreMalformed(String line) {
        assertThat(findDefectInField(line)).isPresent();
    }

    // Guards against a line that ends the head for one reader only.
    @Test
    void linesAfterTheEndOfTheHeadAreNotChecked() {
        assertThat(HeadSyntax.findDefect("HTTP/1.1 200 OK\r\n\r\nX A")).isEmpty();
    }

    @Test
    void onlyTheChunkedCodingIsDecodable() {
        assertThat(HeadSyntax.isDecodable(List.of())).isTrue();
        assertThat(HeadSyntax.isDecodable(List.of("chunked"))).isTrue();
        assertThat(HeadSyntax.isDecodable(List.of("Chunked "))).isTrue();
        for (String other : List.of("", "gzip", "gzip, chunked", "chunked, chunked", "xchunked")) {
            assertThat(HeadSyntax.isDecodable(List.of(other))).isFalse();
        }
        assertThat(HeadSyntax.isDecodable(List.of("gzip", "chunked"))).isFalse();
    }
}
