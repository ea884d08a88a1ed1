package org.jacinthwharf.cli;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Splitter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jacinthwharf.process.metrics.RefusalReason;
import org.jacinthwharf.process.metrics.RetryReason;
import org.junit.jupiter.api.Test;

/** Guards the operators' page against missing or obsolete reasons, events and metrics. */
final class OperatorsPageTest {
    private static final Pattern EVENT = Pattern.compile("\"event=([a-z_]+(?:%s)?)([^\"]*)\"");
    private static final Pattern KEY = Pattern.compile("([a-z_]+)=");
    private static final Pattern METRIC = Pattern.compile("\"(jacinthwharf_[a-z_]+)\"");
    private static final Pattern CODE_SPAN = Pattern.compile("`([^`]+)`");

    private final String mPage = read(Path.of("docs/operators.md"));

    // Guards against a refusal that the page does not list, or lists with a wrong status.
    @Test
    void everyRefusalReasonIsInTheTableWithItsStatus() {
        Map<String, String> expected = new TreeMap<>();
        for (RefusalReason r : RefusalReason.values()) {
            expected.put(r.code(), "" + r.status());
        }

        assertThat(table("Refusals", 1)).isEqualTo(expected);
    }

    // Guards against a retry counter that the page does not list.
    @Test
    void everyRetryReasonIsInTheTable() {
        List<String> codes = Stream.of(RetryReason.values()).map(RetryReason::code).toList();

        assertThat(table("Retries", 1).keySet()).containsExactlyElementsIn(codes);
    }

    // Guards against a log event, or one of its keys, that the page does not list.
    @Test
    void everyLogEventIsInTheTableWithItsKeys() throws IOException {
        Map<String, String> expected = new TreeMap<>();
        for (MatchResult event : findInSources(EVENT)) {
            List<String> keys = matches(KEY, event.group(2));
            expected.put(event.group(1).replace("%s", "*"), String.join(" ", keys));
        }
        Map<String, String> documented = new TreeMap<>();
        table("Log events", 1)
                .forEach(
                        (name, keys) ->
                                documented.put(name, String.join(" ", matches(CODE_SPAN, keys))));

        assertThat(documented).isEqualTo(expected);
    }

    // Guards against a metric that the page does not list.
    @Test
    void everyMetricIsInTheTable() throws IOException {
        TreeSet<String> metrics = new TreeSet<>();
        findInSources(METRIC).forEach(m -> metrics.add(m.group(1)));

        assertThat(table("Metrics", 1).keySet()).containsExactlyElementsIn(metrics);
    }

    // Maps the code in the first column of the section's table to the text of the given column.
    private Map<String, String> table(String section, int column) {
        String text = mPage.substring(mPage.indexOf("\n## " + section + "\n") + 1);
        int end = text.indexOf("\n## ", 1);
        Map<String, String> rows = new TreeMap<>();
        for (String line : Splitter.on('\n').split(end < 0 ? text : text.substring(0, end))) {
            if (line.startsWith("| `")) {
                List<String> cells = Splitter.on('|').trimResults().splitToList(line);
                rows.put(cells.get(1).replace("`", ""), cells.get(1 + column));
            }
        }
        return rows;
    }

    private static List<MatchResult> findInSources(Pattern pattern) throws IOException {
        List<MatchResult> found = new ArrayList<>();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            files.filter(f -> f.toString().endsWith(".java"))
                    .filter(f -> !f.toString().contains("generated"))
                    .forEach(f -> found.addAll(pattern.matcher(read(f)).results().toList()));
        }
        return found;
    }

    private static List<String> matches(Pattern pattern, String text) {
        return pattern.matcher(text).results().map(m -> m.group(1)).collect(Collectors.toList());
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new AssertionError("cannot read " + file, e);
        }
    }
}
