package org.jacinthwharf.id;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against text from outside that forges a field or a line of a log. */
final class LogTextTest {
    @Test
    void wordsAreWrittenAsTheyAre() {
        assertThat(LogText.of("nEHQe+KjX2g=")).isEqualTo("nEHQe+KjX2g=");
    }

    @Test
    void otherTextIsQuotedOnOneLine() {
        assertThat(LogText.of("")).isEqualTo("\"\"");
        assertThat(LogText.of("Posada El Quetzal")).isEqualTo("\"Posada El Quetzal\"");
        assertThat(LogText.of("a\nevent=x \"b\\")).isEqualTo("\"a\\u000aevent=x \\\"b\\\\\"");
        assertThat(LogText.of("駅")).isEqualTo("\"\\u99c5\"");
    }

    @Test
    void longTextIsCut() {
        assertThat(LogText.of("x".repeat(1 << 20)).length()).isLessThan(300);
    }

    @Test
    void idsAreWrittenInLogsLikeText() {
        assertThat(CustomerId.of("a b").toString()).isEqualTo("\"a b\"");
        assertThat(CustomerId.of("a b").value()).isEqualTo("a b");
        assertThat(CustomerId.parse("a b")).isEmpty();
    }
}
