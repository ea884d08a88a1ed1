package org.jacinthwharf.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/**
 * Collects the figures of one run, with the bounds that come from stated targets.
 *
 * <p>Not thread-safe.
 */
public final class BenchReport {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ObjectNode mRoot = JSON.createObjectNode();
    private final ArrayNode mRows = mRoot.putArray("figures");
    private final PrintStream mOut;
    private String mPart = "";
    private int mExceeded;

    /** Creates an empty report that prints each figure as it is added. */
    public BenchReport(PrintStream out) {
        mOut = out;
        mRoot.put("cores", Runtime.getRuntime().availableProcessors());
        mRoot.put("java", System.getProperty("java.runtime.version"));
    }

    /** Starts a part of the table. */
    public void part(String name) {
        mPart = name;
        mOut.printf("%n%s%n", name);
    }

    /** Adds a figure without a bound. */
    public void add(String name, double value, String unit) {
        row(name, value, unit, "");
    }

    /** Adds a figure that must be at most {@code bound}. */
    public void atMost(String name, double value, double bound, String unit) {
        bounded(name, value, unit, "at most ", bound, value <= bound);
    }

    /** Adds a figure that must be at least {@code bound}. */
    public void atLeast(String name, double value, double bound, String unit) {
        bounded(name, value, unit, "at least ", bound, value >= bound);
    }

    /** Adds a target that this run compares with but that does not decide the exit code. */
    public void compare(String name, double value, double target, String unit) {
        String verdict = value <= target ? " (not above)" : " (above)";
        row(name, value, unit, "compare with " + number(target) + verdict);
    }

    /** Notes that a part could not be measured; this counts as an exceeded bound. */
    public void failed(String reason) {
        mExceeded++;
        mRows.addObject().put("part", mPart).put("failed", reason);
        mOut.printf("  NOT MEASURED: %s%n", reason);
    }

    /** Returns the number of exceeded bounds. */
    public int exceeded() {
        return mExceeded;
    }

    /** Writes all figures as JSON. */
    public void write(Path file) throws IOException {
        Files.createDirectories(file.getParent());
        mRoot.put("exceeded", mExceeded);
        JSON.writerWithDefaultPrettyPrinter().writeValue(file.toFile(), mRoot);
    }

    // A bound that is not a number cannot hold, so NaN counts as exceeded.
    private void bounded(
            String name, double value, String unit, String relation, double bound, boolean held) {
        mExceeded += held ? 0 : 1;
        row(name, value, unit, relation + number(bound) + (held ? ": met" : ": EXCEEDED"));
        ((ObjectNode) mRows.get(mRows.size() - 1)).put("bound", bound).put("held", held);
    }

    private void row(String name, double value, String unit, String note) {
        mRows.addObject()
                .put("part", mPart)
                .put("name", name)
                .put("value", value)
                .put("unit", unit);
        mOut.printf("  %-58s %12s %-12s %s%n", name, number(value), unit, note);
        mOut.flush();
    }

    private static String number(double value) {
        String format = Math.abs(value) >= 100 ? "%.0f" : Math.abs(value) >= 1 ? "%.2f" : "%.4f";
        return String.format(Locale.ROOT, format, value);
    }
}
